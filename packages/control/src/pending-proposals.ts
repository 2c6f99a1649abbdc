/** Commands that the leader proposed and whose outcome is not known yet. */
import type { ControlCommand } from './commands.js'
import type { ControlOperation } from './operations.js'
import type { ControlEffect } from './orders.js'

/** Operations that are answered when a command is applied. */
export type WriteOperation = Extract<ControlOperation, {
  kind: 'submit_job' | 'cancel_job' | 'leave_worker' | 'apply_change' | 'drain' | 'undrain' | 'claim_request' | 'settle_claim'
}>

/** What a proposal is for. */
export type ProposalPurpose =
  | { readonly kind: 'operation', readonly requestId: string, readonly operation: WriteOperation, readonly attempt: number }
  | { readonly kind: 'gang', readonly jobId: string, readonly leaseId: number }
  | { readonly kind: 'placement', readonly jobId: string }
  | { readonly kind: 'waiting_job', readonly jobId: string }
  | { readonly kind: 'worker', readonly workerId: string }
  /** Proves leadership for reports that wait for a lease. */
  | { readonly kind: 'proof' }
  | { readonly kind: 'clock' }

/** A proposal in flight. */
export interface Proposal {
  readonly proposalId: string
  readonly command: ControlCommand
  readonly purpose: ProposalPurpose
  readonly proposedAtMs: number
}

/** Numbers and remembers proposals of one term. */
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

  /** Removes and gives a proposal of this leader; undefined for one of another leader, or one answered before. */
  take (proposalId: string): Proposal | undefined {
    const proposal = this.#proposals.get(proposalId)
    this.#proposals.delete(proposalId)
    return proposal
  }

  /** Removes and gives all proposals. */
  takeAll (): Proposal[] {
    const proposals = [...this.#proposals.values()]
    this.#proposals.clear()
    return proposals
  }
}
