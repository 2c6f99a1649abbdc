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
    const waiting = this.#fromCursor().flatMap(flow => {
      const costMs = costOf(flow.key)
      return costMs === undefined ? [] : [{ flow, missingRounds: this.#missingRounds(flow, costMs) }]
    })
    if (waiting.length === 0) return undefined
    const rounds = Math.min(...waiting.map(each => each.missingRounds))
    if (rounds > 0) {
      for (const { flow } of waiting) flow.deficitMs += rounds * this.#quantumMs * flow.weight
    }
    const { flow } = waiting.find(each => each.missingRounds <= rounds)!
    this.#cursor = this.#flows.indexOf(flow)
    return flow.key
  }

  /** Takes the cost of a request that was served. */
  charge (key: string, costMs: number): void {
    const flow = this.#flows.find(each => each.key === key)
    if (flow !== undefined) flow.deficitMs -= costMs
  }

  #fromCursor (): Flow[] {
    return [...this.#flows.slice(this.#cursor), ...this.#flows.slice(0, this.#cursor)]
  }

  #missingRounds (flow: Flow, costMs: number): number {
    return Math.max(0, Math.ceil((costMs - flow.deficitMs) / (this.#quantumMs * flow.weight)))
  }
}
