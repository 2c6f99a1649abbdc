/** Timers of the router in a binary heap, so that the front end needs only one system timer. */

/** A scheduled call of `fire`. */
export interface Timer {
  readonly atMs: number
  /** Whether the timer was cancelled or has fired. */
  isDone: boolean
  readonly fire: (nowMs: number) => void
}

/** Cancelled timers are removed from the heap once there are this many and they are the majority. */
const COMPACTION_MIN_CANCELLED = 64

/**
 * Priority queue of timers. Timers with the same time fire in the order in which they were set.
 *
 * @example
 * const timers = new TimerHeap()
 * const timer = timers.set(1_000, nowMs => expire(nowMs))
 * timers.cancel(timer)
 */
export class TimerHeap {
  #heap: Array<Timer & { order: number }> = []
  #cancelledCount = 0
  #nextOrder = 0

  /** Sets a timer that fires at the first call of `fireDue` at or after `atMs`. */
  set (atMs: number, fire: (nowMs: number) => void): Timer {
    const timer = { atMs, isDone: false, fire, order: this.#nextOrder++ }
    this.#heap.push(timer)
    this.#siftUp(this.#heap.length - 1)
    return timer
  }

  /** Cancels a timer; no effect if it has fired. */
  cancel (timer: Timer | undefined): void {
    if (timer === undefined || timer.isDone) return
    timer.isDone = true
    this.#cancelledCount++
    if (
      this.#cancelledCount >= COMPACTION_MIN_CANCELLED && this.#cancelledCount * 2 > this.#heap.length
    ) this.#removeCancelled()
  }

  /** Time of the earliest pending timer. */
  nextAtMs (): number | undefined {
    this.#popCancelled()
    return this.#heap[0]?.atMs
  }

  /** Fires all due timers, including due timers set by those that fire. */
  fireDue (nowMs: number): void {
    for (this.#popCancelled(); this.#heap.length > 0 && this.#heap[0]!.atMs <= nowMs; this.#popCancelled()) {
      const timer = this.#pop()
      timer.isDone = true
      timer.fire(nowMs)
    }
  }

  #popCancelled (): void {
    while (this.#heap[0]?.isDone === true) {
      this.#pop()
      this.#cancelledCount = Math.max(0, this.#cancelledCount - 1)
    }
  }

  #removeCancelled (): void {
    this.#heap = this.#heap.filter(timer => !timer.isDone).sort((left, right) => isBefore(left, right) ? -1 : 1)
    this.#cancelledCount = 0
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
    const previous = this.#heap[left]!
    this.#heap[left] = this.#heap[right]!
    this.#heap[right] = previous
  }
}

function isBefore (left: Timer & { order: number }, right: Timer & { order: number }): boolean {
  return left.atMs === right.atMs ? left.order < right.order : left.atMs < right.atMs
}
