/** Ports to the services that the batch leader calls. */
import type { MaintenanceAnswer, MaintenanceCall, Ticket } from '@comfreygrade/batch'

/** Port to the advice service, which decides which workers may run a step. */
export abstract class AdvicePort {
  /** Requests tickets for the workers that may run the step; resolves to undefined if the call failed. */
  abstract requestTickets (stepKey: string, workerIds: readonly string[]): Promise<readonly Ticket[] | undefined>
}

/** Used in deployments without an advice service: every call fails. */
export class NullAdvicePort extends AdvicePort {
  override async requestTickets (): Promise<undefined> {
    return undefined
  }
}

/** Identity of a caller of the VM interface. Of two callers, the one with the higher fencing token takes precedence. */
export interface CallerIdentity {
  readonly holder: string
  readonly fencingToken: number
}

/** Port to the interface that manages the VMs on which workers run. */
export abstract class VmPort {
  abstract beginMaintenance (call: MaintenanceCall, caller: CallerIdentity): Promise<MaintenanceAnswer>
}

/** Used in deployments without a VM interface: every call fails. */
export class NullVmPort extends VmPort {
  override async beginMaintenance (): Promise<'failed'> {
    return 'failed'
  }
}
