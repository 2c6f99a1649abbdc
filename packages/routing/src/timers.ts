/** Timers of the router, kept as a binary heap so that the front end needs only one. */

/** A pending call of `fire`; `cancel` makes it void. */
export interface Timer {
  readonly atMs: number
  isCancelled: boolean
  readonly fire: (nowMs: number) => void
}

/** Cancelled timers are swept once there are this many and they are the majority. */
const SWEEP_MIN_CANCELLED = 64

/**
 * Timers in order of their time; equal times fire in the order in which they were set.
 *
 * @example
 * const timers = new TimerHeap()
 * const timer = timers.set(1_000, nowMs => expire(nowMs))
 * timers.cancel(timer)
 */
export class TimerHeap {
  #heap: Array<Timer & { order: number }> = []
  #cancelled = 0
  #nextOrder = 0

  /** Sets a timer that fires at `atMs` or later. */
  set (atMs: number, fire: (nowMs: number) => void): Timer {
    const timer = { atMs, isCancelled: false, fire, order: this.#nextOrder++ }
    this.#heap.push(timer)
    this.#siftUp(this.#heap.length - 1)
    return timer
  }

  /** Makes a timer void; without effect on one that fired. */
  cancel (timer: Timer | undefined): void {
    if (timer === undefined || timer.isCancelled) return
    timer.isCancelled = true
    this.#cancelled++
    if (this.#cancelled >= SWEEP_MIN_CANCELLED && this.#cancelled * 2 > this.#heap.length) this.#sweep()
  }

  /** Time of the earliest timer. */
  nextAtMs (): number | undefined {
    this.#dropCancelled()
    return this.#heap[0]?.atMs
  }

  /** Fires every timer that is due, including those set meanwhile. */
  fireDue (nowMs: number): void {
    for (this.#dropCancelled(); this.#heap.length > 0 && this.#heap[0]!.atMs <= nowMs; this.#dropCancelled()) {
      const timer = this.#pop()
      timer.isCancelled = true
      timer.fire(nowMs)
    }
  }

  #dropCancelled (): void {
    while (this.#heap[0]?.isCancelled === true) {
      this.#pop()
      this.#cancelled = Math.max(0, this.#cancelled - 1)
    }
  }

  #sweep (): void {
    this.#heap = this.#heap.filter(timer => !timer.isCancelled).sort((left, right) => isBefore(left, right) ? -1 : 1)
    this.#cancelled = 0
  }

  #pop (): Timer & { order: number } {
    const first = this.#heap[0]!
    const last = this.#heap.pop()!
    if (this.#heap.length > 0) {
      this.#heap[0] = last
      this.#siftDown(0)
    }
    return first
  }

  #siftUp (start: number): void {
    let index = start
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(this.#heap[index]!, this.#heap[parent]!)) return
      this.#swap(index, parent)
      index = parent
    }
  }

  #siftDown (start: number): void {
    let index = start
    for (;;) {
      const left = 2 * index + 1
      const right = left + 1
      let first = index
      if (left < this.#heap.length && isBefore(this.#heap[left]!, this.#heap[first]!)) first = left
      if (right < this.#heap.length && isBefore(this.#heap[right]!, this.#heap[first]!)) first = right
      if (first === index) return
      this.#swap(index, first)
      index = first
    }
  }

  #swap (left: number, right: number): void {
    const held = this.#heap[left]!
    this.#heap[left] = this.#heap[right]!
    this.#heap[right] = held
  }
}

function isBefore (left: Timer & { order: number }, right: Timer & { order: number }): boolean {
  return left.atMs === right.atMs ? left.order < right.order : left.atMs < right.atMs
}
