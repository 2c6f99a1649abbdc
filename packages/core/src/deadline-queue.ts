/** Priority queue of deadlines, one per key. */

interface HeapEntry {
  readonly key: string
  readonly atMs: number
}

/**
 * Binary heap of keyed deadlines. Postponing a deadline takes constant time: its heap entry is reinserted lazily, when
 * it reaches the top, so that thousands of lease renewals per second do not reorder the heap.
 *
 * @example
 * const queue = new DeadlineQueue()
 * queue.set('w1', 500)
 * queue.takeDue(600) // ['w1']
 */
export class DeadlineQueue {
  readonly #deadlines = new Map<string, number>()
  /** Time of the earliest heap entry of each key. */
  readonly #earliestEntryMs = new Map<string, number>()
  readonly #heap: HeapEntry[] = []

  /** Sets or replaces the deadline of a key. */
  set (key: string, atMs: number): void {
    this.#deadlines.set(key, atMs)
    const earliestEntryMs = this.#earliestEntryMs.get(key)
    if (earliestEntryMs === undefined || atMs < earliestEntryMs) this.#push({ key, atMs })
  }

  delete (key: string): void {
    this.#deadlines.delete(key)
  }

  get (key: string): number | undefined {
    return this.#deadlines.get(key)
  }

  /** Returns the time of the earliest deadline, or undefined if there is none. */
  earliestDeadlineMs (): number | undefined {
    this.#removeStaleEntries()
    return this.#heap[0]?.atMs
  }

  /** Removes and returns the keys whose deadline is at or before `nowMs`. */
  takeDue (nowMs: number): string[] {
    const due: string[] = []
    for (let entry = this.#heap[0]; entry !== undefined && entry.atMs <= nowMs; entry = this.#heap[0]) {
      this.#pop()
      if (this.#earliestEntryMs.get(entry.key) !== entry.atMs) continue
      this.#earliestEntryMs.delete(entry.key)
      const atMs = this.#deadlines.get(entry.key)
      if (atMs === undefined) continue
      if (atMs > nowMs) {
        this.#push({ key: entry.key, atMs })
        continue
      }
      this.#deadlines.delete(entry.key)
      due.push(entry.key)
    }
    return due
  }

  #removeStaleEntries (): void {
    for (let entry = this.#heap[0]; entry !== undefined; entry = this.#heap[0]) {
      const isCurrent = this.#earliestEntryMs.get(entry.key) === entry.atMs
      const atMs = this.#deadlines.get(entry.key)
      if (isCurrent && atMs === entry.atMs) return
      this.#pop()
      if (!isCurrent) continue
      this.#earliestEntryMs.delete(entry.key)
      if (atMs !== undefined) this.#push({ key: entry.key, atMs })
    }
  }

  #push (entry: HeapEntry): void {
    this.#earliestEntryMs.set(entry.key, entry.atMs)
    const heap = this.#heap
    let position = heap.length
    heap.push(entry)
    while (position > 0) {
      const parentPosition = (position - 1) >> 1
      const parent = heap[parentPosition]
      if (parent === undefined || parent.atMs <= entry.atMs) break
      heap[position] = parent
      position = parentPosition
    }
    heap[position] = entry
  }

  #pop (): void {
    const last = this.#heap.pop()
    if (last === undefined || this.#heap.length === 0) return
    this.#siftDown(last)
  }

  #siftDown (entry: HeapEntry): void {
    const heap = this.#heap
    let position = 0
    for (let child = this.#smallerChild(position); child !== undefined; child = this.#smallerChild(position)) {
      const childEntry = heap[child]
      if (childEntry === undefined || childEntry.atMs >= entry.atMs) break
      heap[position] = childEntry
      position = child
    }
    heap[position] = entry
  }

  #smallerChild (position: number): number | undefined {
    const left = position * 2 + 1
    const leftEntry = this.#heap[left]
    const rightEntry = this.#heap[left + 1]
    if (leftEntry === undefined) return undefined
    return rightEntry !== undefined && rightEntry.atMs < leftEntry.atMs ? left + 1 : left
  }
}

/**
 * Returns the earliest of several optional times.
 *
 * @example
 * earliest([undefined, 7, 5]) // 5
 */
export function earliest (times: ReadonlyArray<number | undefined>): number | undefined {
  const present = times.filter(time => time !== undefined)
  return present.length === 0 ? undefined : Math.min(...present)
}
