/**
 * Bounds how many executions run at once; the others wait in order of arrival.
 *
 * @example
 * const slots = new Slots(8)
 * await slots.take()
 * slots.release()
 */
export class Slots {
  #free: number
  readonly #waiting: Array<() => void> = []

  constructor (count: number) {
    this.#free = count
  }

  /** Resolves once a slot is held. */
  async take (): Promise<void> {
    if (this.#free > 0) {
      this.#free--
      return
    }
    await new Promise<void>(resolve => this.#waiting.push(resolve))
  }

  /** Gives a held slot to the first that waits. */
  release (): void {
    const next = this.#waiting.shift()
    if (next === undefined) this.#free++
    else next()
  }
}
