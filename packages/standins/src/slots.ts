/**
 * Limits how many executions run concurrently; the others wait in order of arrival.
 *
 * @example
 * const slots = new SlotSemaphore(8)
 * await slots.acquire()
 * slots.release()
 */
export class SlotSemaphore {
  #available: number
  readonly #waiters: Array<() => void> = []

  constructor (count: number) {
    this.#available = count
  }

  /** Resolves once a slot is acquired. */
  async acquire (): Promise<void> {
    if (this.#available > 0) {
      this.#available--
      return
    }
    await new Promise<void>(resolve => this.#waiters.push(resolve))
  }

  /** Passes the slot to the longest waiter, if there is one. */
  release (): void {
    const next = this.#waiters.shift()
    if (next === undefined) this.#available++
    else next()
  }
}
