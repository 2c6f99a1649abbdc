/** FIFO queue with amortised constant cost. A `Map` used as a queue slows down when its first entries are deleted. */
export class Fifo<T> {
  #items: T[] = []
  #head = 0

  get size (): number {
    return this.#items.length - this.#head
  }

  push (item: T): void {
    this.#items.push(item)
  }

  /** Returns the oldest item, or undefined if the queue is empty. */
  peek (): T | undefined {
    return this.#items[this.#head]
  }

  /** Removes and returns the oldest item. */
  shift (): T | undefined {
    const item = this.#items[this.#head]
    if (this.#head === this.#items.length) return undefined
    this.#head += 1
    if (this.#head * 2 > this.#items.length) this.#compact()
    return item
  }

  #compact (): void {
    this.#items = this.#items.slice(this.#head)
    this.#head = 0
  }
}
