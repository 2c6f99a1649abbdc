/** Proposals made on this replica whose entries are neither committed nor overwritten yet. */
export class PendingProposals {
  readonly #idsByIndex = new Map<number, string>()

  /** Adds a proposal whose entry was appended at `index`. */
  add (index: number, proposalId: string): void {
    this.#idsByIndex.set(index, proposalId)
  }

  /** Removes the proposal at `index`, if any, once its entry is committed. */
  remove (index: number): void {
    this.#idsByIndex.delete(index)
  }

  /** Removes and returns the ids of all proposals from `index` on. */
  takeFrom (index: number): string[] {
    const taken = [...this.#idsByIndex].filter(([key]) => key >= index)
    for (const [key] of taken) this.#idsByIndex.delete(key)
    return taken.map(([, proposalId]) => proposalId)
  }
}
