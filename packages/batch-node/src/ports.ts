/** What the batch leader needs from outside. */
import type { MaintenanceAnswer, MaintenanceCall, Ticket } from '@comfreygrade/batch'

/** Service that knows which workers may run a step. */
export abstract class AdvicePort {
  /** Tickets of the workers that may run the step; undefined where the call failed. */
  abstract ask (stepKey: string, workerIds: readonly string[]): Promise<readonly Ticket[] | undefined>
}

/** Advice where the deployment has no such service. */
export class NoAdvice extends AdvicePort {
  override async ask (): Promise<undefined> {
    return undefined
  }
}

/** Who calls about a VM: of two callers the one with the higher token goes first. */
export interface CallerIdentity {
  readonly holder: string
  readonly fencingToken: number
}

/** Interface to the VMs on which workers run. */
export abstract class VmPort {
  abstract beginMaintenance (call: MaintenanceCall, caller: CallerIdentity): Promise<MaintenanceAnswer>
}

/** VMs where the deployment has no such interface. */
export class NoVms extends VmPort {
  override async beginMaintenance (): Promise<'failed'> {
    return 'failed'
  }
}
