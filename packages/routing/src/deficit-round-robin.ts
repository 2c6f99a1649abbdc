/** Fair sharing between flows whose requests cost different amounts of time. */

interface Flow { readonly key: string, weight: number, deficitMs: number }

/**
 * Deficit round robin (Shreedhar and Varghese, 1995). Rounds in which no flow could be served are skipped at once,
 * so that expensive requests do not cost many turns of the loop.
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

  /** Adds a flow that has requests again. */
  add (key: string, weight: number): void {
    this.#flows.push({ key, weight, deficitMs: 0 })
  }

  /** Removes a flow without requests; its deficit is lost, so that nobody saves up service. */
  remove (key: string): void {
    const index = this.#flows.findIndex(flow => flow.key === key)
    if (index < 0) return
    this.#flows.splice(index, 1)
    if (this.#cursor > index) this.#cursor--
  }

  /**
   * The flow whose turn it is.
   *
   * @param costOf cost of a flow's first request, or undefined where it cannot be served now
   */
  select (costOf: (key: string) => number | undefined): string | undefined {
    let rounds = Infinity
    for (let step = 0; step < this.#flows.length; step++) {
      const missing = this.#missingRounds(this.#fromCursor(step), costOf)
      if (missing === 0) return this.#moveTo(step).key
      rounds = Math.min(rounds, missing)
    }
    return rounds === Infinity ? undefined : this.#skipRounds(rounds, costOf)
  }

  /** Takes the cost of a request that was served. */
  charge (key: string, costMs: number): void {
    const flow = this.#flows.find(each => each.key === key)
    if (flow !== undefined) flow.deficitMs -= costMs
  }

  /** Gives every flow that can be served the quantum of several rounds, and turns to the first that then has enough. */
  #skipRounds (rounds: number, costOf: (key: string) => number | undefined): string | undefined {
    let first: number | undefined
    for (let step = 0; step < this.#flows.length; step++) {
      const flow = this.#fromCursor(step)
      const missing = this.#missingRounds(flow, costOf)
      if (missing === Infinity) continue
      flow.deficitMs += rounds * this.#quantumMs * flow.weight
      if (missing <= rounds) first ??= step
    }
    return first === undefined ? undefined : this.#moveTo(first).key
  }

  #fromCursor (step: number): Flow {
    return this.#flows[(this.#cursor + step) % this.#flows.length]!
  }

  #moveTo (step: number): Flow {
    this.#cursor = (this.#cursor + step) % this.#flows.length
    return this.#flows[this.#cursor]!
  }

  /** Rounds until a flow may send its first request; Infinity where it cannot be served now. */
  #missingRounds (flow: Flow, costOf: (key: string) => number | undefined): number {
    const costMs = costOf(flow.key)
    if (costMs === undefined) return Infinity
    return Math.max(0, Math.ceil((costMs - flow.deficitMs) / (this.#quantumMs * flow.weight)))
  }
}
