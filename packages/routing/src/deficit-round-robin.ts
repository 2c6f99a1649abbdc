/** Weighted fair scheduling of flows whose requests have different costs. */

interface Flow {
  readonly key: string
  weight: number
  /** Unspent service time, the deficit counter of the algorithm. */
  creditMs: number
}

/**
 * Deficit round robin (Shreedhar and Varghese, 1995). Rounds in which no flow has enough credit are skipped in one
 * step, so that selecting a flow takes no more iterations when requests are expensive.
 *
 * @example
 * const flows = new DeficitRoundRobin(20)
 * flows.add('salto-university', 1)
 * const key = flows.select(key => costOfHeadMs(key))
 * if (key !== undefined) flows.charge(key, costOfHeadMs(key))
 */
export class DeficitRoundRobin {
  readonly #quantumMs: number
  readonly #flows: Flow[] = []
  #cursor = 0

  constructor (quantumMs: number) {
    this.#quantumMs = quantumMs
  }

  /** Adds a flow that has become non-empty. */
  add (key: string, weight: number): void {
    this.#flows.push({ key, weight, creditMs: 0 })
  }

  /** Removes a flow that has become empty. Its credit is lost, so that an idle flow cannot accumulate credit. */
  remove (key: string): void {
    const index = this.#flows.findIndex(flow => flow.key === key)
    if (index < 0) return
    this.#flows.splice(index, 1)
    if (this.#cursor > index) this.#cursor--
  }

  /**
   * Selects the flow to serve next, or undefined if no flow can be served.
   *
   * @param costOf cost of a flow's first request, or undefined if it cannot be served now
   */
  select (costOf: (key: string) => number | undefined): string | undefined {
    let minRounds = Infinity
    for (let step = 0; step < this.#flows.length; step++) {
      const missingRounds = this.#roundsUntilAffordable(this.#flowAt(step), costOf)
      if (missingRounds === 0) return this.#advanceCursor(step).key
      minRounds = Math.min(minRounds, missingRounds)
    }
    return minRounds === Infinity ? undefined : this.#skipRounds(minRounds, costOf)
  }

  /** Deducts the cost of a served request from the credit of its flow. */
  charge (key: string, costMs: number): void {
    const flow = this.#flows.find(each => each.key === key)
    if (flow !== undefined) flow.creditMs -= costMs
  }

  /**
   * Adds the credit of `rounds` rounds to every flow that can be served, and selects the first that then has enough.
   */
  #skipRounds (rounds: number, costOf: (key: string) => number | undefined): string | undefined {
    let firstEligibleStep: number | undefined
    for (let step = 0; step < this.#flows.length; step++) {
      const flow = this.#flowAt(step)
      const missingRounds = this.#roundsUntilAffordable(flow, costOf)
      if (missingRounds === Infinity) continue
      flow.creditMs += rounds * this.#quantumMs * flow.weight
      if (missingRounds <= rounds) firstEligibleStep ??= step
    }
    return firstEligibleStep === undefined ? undefined : this.#advanceCursor(firstEligibleStep).key
  }

  #flowAt (step: number): Flow {
    return this.#flows[(this.#cursor + step) % this.#flows.length]!
  }

  #advanceCursor (step: number): Flow {
    this.#cursor = (this.#cursor + step) % this.#flows.length
    return this.#flows[this.#cursor]!
  }

  /** Rounds until a flow has enough credit for its first request; Infinity if it cannot be served now. */
  #roundsUntilAffordable (flow: Flow, costOf: (key: string) => number | undefined): number {
    const costMs = costOf(flow.key)
    if (costMs === undefined) return Infinity
    return Math.max(0, Math.ceil((costMs - flow.creditMs) / (this.#quantumMs * flow.weight)))
  }
}
