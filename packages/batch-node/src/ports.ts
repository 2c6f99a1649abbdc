/** What the batch leader needs from outside. */
import type { Ticket } from '@comfreygrade/batch'

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
