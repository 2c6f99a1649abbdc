/** First-in, first-out queue of constant amortised cost; a `Map` used as one slows down while its front is deleted. */
export class Fifo<T> {
  #items: T[] = []
  #head = 0

  get size (): number {
    return this.#items.length - this.#head
  }

  push (item: T): void {
    this.#items.push(item)
  }

  /** The oldest item, or undefined when the queue is empty. */
  peek (): T | undefined {
    return this.#items[this.#head]
  }

  /** Removes and gives the oldest item. */
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
