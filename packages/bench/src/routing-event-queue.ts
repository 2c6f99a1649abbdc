/** Event queue of a discrete-event simulation, with its simulated clock. */

/** `order` is the sequence number of scheduling. */
interface ScheduledEvent { readonly atMs: number, readonly order: number, readonly callback: () => void }

/** Runs callbacks in order of time, and in order of scheduling at the same time. The clock advances to each event. */
export class EventQueue {
  readonly #heap: ScheduledEvent[] = []
  #nowMs = 0
  #order = 0

  /** Simulated monotonic time. */
  get nowMs (): number {
    return this.#nowMs
  }

  /** Schedules a callback for `atMs`, or for the current time if `atMs` has passed. */
  schedule (atMs: number, callback: () => void): void {
    this.#heap.push({ atMs: Math.max(atMs, this.#nowMs), order: this.#order++, callback })
    this.#siftUp(this.#heap.length - 1)
  }

  /** Runs all events up to and including `endMs`. */
  runUntil (endMs: number): void {
    while (this.#heap.length > 0 && this.#heap[0]!.atMs <= endMs) {
      const entry = this.#pop()
      this.#nowMs = entry.atMs
      entry.callback()
    }
  }

  #pop (): ScheduledEvent {
    const first = this.#heap[0]!
    const last = this.#heap.pop()!
    if (this.#heap.length > 0) {
      this.#heap[0] = last
      this.#siftDown()
    }
    return first
  }

  #siftUp (start: number): void {
    let index = start
    const entry = this.#heap[index]!
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(entry, this.#heap[parent]!)) break
      this.#heap[index] = this.#heap[parent]!
      index = parent
    }
    this.#heap[index] = entry
  }

  #siftDown (): void {
    const entry = this.#heap[0]!
    const { length } = this.#heap
    let index = 0
    for (let child = 1; child < length; child = 2 * index + 1) {
      if (child + 1 < length && isBefore(this.#heap[child + 1]!, this.#heap[child]!)) child++
      if (!isBefore(this.#heap[child]!, entry)) break
      this.#heap[index] = this.#heap[child]!
      index = child
    }
    this.#heap[index] = entry
  }
}

function isBefore (left: ScheduledEvent, right: ScheduledEvent): boolean {
  return left.atMs === right.atMs ? left.order < right.order : left.atMs < right.atMs
}
