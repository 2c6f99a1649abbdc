/** Sets of indexes that are mostly contiguous. */
import { lowestIndex } from './binary-search.js'

/**
 * A set of non-negative integers, kept as ranges: it takes memory for each gap, not for each index.
 *
 * @example
 * const set = new IndexSet([0, 3])
 * set.add(3)
 * set.toRanges() // [0, 4]
 */
export class IndexSet {
  /** First index of each range and the index after its last one, in ascending order. */
  readonly #bounds: number[]
  #size = 0

  /** `ranges` are those of {@link toRanges}. */
  constructor (ranges: readonly number[] = []) {
    this.#bounds = [...ranges]
    for (let at = 0; at < ranges.length; at += 2) this.#size += (ranges[at + 1] as number) - (ranges[at] as number)
  }

  get size (): number {
    return this.#size
  }

  has (index: number): boolean {
    return this.#boundsUpTo(index) % 2 === 1
  }

  /** The first index from `from` on that is not in the set. */
  firstMissing (from: number): number {
    const count = this.#boundsUpTo(from)
    return count % 2 === 1 ? this.#bounds[count] as number : from
  }

  add (index: number): void {
    const count = this.#boundsUpTo(index)
    if (count % 2 === 1) return
    this.#size++
    const extendsPrevious = count > 0 && this.#bounds[count - 1] === index
    const extendsNext = this.#bounds[count] === index + 1
    if (extendsPrevious && extendsNext) this.#bounds.splice(count - 1, 2)
    else if (extendsPrevious) this.#bounds[count - 1] = index + 1
    else if (extendsNext) this.#bounds[count] = index
    else this.#bounds.splice(count, 0, index, index + 1)
  }

  /** Adds all indexes below `end`. */
  addAllBelow (end: number): void {
    for (let index = this.firstMissing(0); index < end; index = this.firstMissing(index)) this.add(index)
  }

  /** Pairs of a first index and the index after the last one, in ascending order. */
  toRanges (): number[] {
    return [...this.#bounds]
  }

  /** Number of bounds that are not above an index; it is odd where a range contains the index. */
  #boundsUpTo (index: number): number {
    return lowestIndex(this.#bounds.length, at => (this.#bounds[at] as number) > index)
  }
}
