/** Ports to the services that the control leader calls. */
import type { MaintenanceAnswer, MaintenanceCall, Ticket } from '@comfreygrade/batch'

/**
 * Port to the advice service, which decides which workers may run a step. A ticket is its permission for one worker,
 * which is sent to the worker with the order to start a task of the step.
 */
export abstract class AdvicePort {
  /**
   * Requests tickets of a step for the given workers; resolves to undefined if the call failed, or had no answer after
   * `timeoutMs`. Rejects if the call could not be made.
   */
  abstract requestTickets (
    stepKey: string, workerIds: readonly string[], timeoutMs: number
  ): Promise<readonly Ticket[] | undefined>
}

/** Used in processes that do not call an advice service: every call fails. */
export class NullAdvicePort extends AdvicePort {
  override async requestTickets (): Promise<undefined> {
    return undefined
  }
}

/** Identity of a caller of the VM interface. Of two callers, the one with the higher fencing token takes precedence. */
export interface CallerIdentity {
  /** Node ID of the calling control leader. */
  readonly holder: string
  readonly fencingToken: number
  /** Whether the caller may still make the call; to be checked right before it is sent. */
  readonly isPermitted: () => boolean
}

/**
 * Longest time for which a call that changes a VM may be under way. A new leader makes no such call for longer than
 * this, so that none of an earlier leader arrives after its own first one.
 */
export const MAX_CALL_MS = 2_000

/** Port to the interface that manages the VMs on which workers run. */
export abstract class VmPort {
  /**
   * Requests that the maintenance of a VM begins; resolves to whether it has begun, or why not. Nothing is sent once
   * the caller is not permitted any more, or later than `MAX_CALL_MS` after the start of the call. Rejects if the call
   * could not be made.
   */
  abstract beginMaintenance (call: MaintenanceCall, caller: CallerIdentity): Promise<MaintenanceAnswer>
}

/** Used in processes that do not call a VM interface: every call fails. */
export class NullVmPort extends VmPort {
  override async beginMaintenance (): Promise<'failed'> {
    return 'failed'
  }
}
