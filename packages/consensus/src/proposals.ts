/** Proposals of this replica that wait for their entry to be committed or overwritten. */
export class ProposalTable {
  readonly #idsByIndex = new Map<number, string>()

  /** Takes note of a proposal that was appended at `index`. */
  add (index: number, proposalId: string): void {
    this.#idsByIndex.set(index, proposalId)
  }

  /** Forgets a proposal whose entry is committed. */
  commit (index: number): void {
    this.#idsByIndex.delete(index)
  }

  /** Removes and returns the proposals from `index` on. */
  takeFrom (index: number): string[] {
    const taken = [...this.#idsByIndex].filter(([key]) => key >= index)
    for (const [key] of taken) this.#idsByIndex.delete(key)
    return taken.map(([, proposalId]) => proposalId)
  }
}
