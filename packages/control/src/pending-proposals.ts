/** Commands proposed by the leader whose outcome is not known yet. */
import type { ControlCommand } from './commands.js'
import type { ControlOperation } from './operations.js'
import type { ControlEffect } from './orders.js'

/** Operations that are answered once their command is committed. */
export type WriteOperation = Extract<ControlOperation, {
  kind: 'submit_job' | 'cancel_job' | 'leave_worker' | 'apply_change' | 'drain' | 'undrain' | 'claim_request' | 'settle_claim'
}>

/** Purpose of a proposal, which decides what handles its outcome. */
export type ProposalPurpose =
  | { readonly kind: 'operation', readonly requestId: string, readonly operation: WriteOperation, readonly attempt: number }
  | { readonly kind: 'gang', readonly jobId: string, readonly leaseId: number }
  | { readonly kind: 'placement', readonly jobId: string }
  | { readonly kind: 'end_waiting_job', readonly jobId: string }
  | { readonly kind: 'worker', readonly workerId: string }
  /** Proves leadership for reports that wait for their answer. */
  | { readonly kind: 'proof' }
  | { readonly kind: 'clock' }

export interface Proposal {
  readonly proposalId: string
  readonly command: ControlCommand
  readonly purpose: ProposalPurpose
  readonly proposedAtMs: number
}

/** Issues and tracks the proposals of one term. */
export class PendingProposals {
  readonly #term: number
  readonly #effects: ControlEffect[]
  readonly #proposals = new Map<string, Proposal>()
  #count = 0

  constructor (term: number, effects: ControlEffect[]) {
    this.#term = term
    this.#effects = effects
  }

  get size (): number {
    return this.#proposals.size
  }

  propose (command: ControlCommand, purpose: ProposalPurpose, nowMs: number): void {
    this.#count += 1
    const proposalId = `${this.#term}-${this.#count}`
    this.#proposals.set(proposalId, { proposalId, command, purpose, proposedAtMs: nowMs })
    this.#effects.push({ kind: 'propose', proposalId, command })
  }

  /** Removes and returns a proposal; undefined if another leader made it or its outcome was already handled. */
  take (proposalId: string): Proposal | undefined {
    const proposal = this.#proposals.get(proposalId)
    this.#proposals.delete(proposalId)
    return proposal
  }

  /** Removes and returns all proposals. */
  takeAll (): Proposal[] {
    const proposals = [...this.#proposals.values()]
    this.#proposals.clear()
    return proposals
  }
}
