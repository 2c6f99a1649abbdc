/** Binary search. */

/**
 * The lowest index from 0 to `count` - 1 for which a condition holds that stays true once it is true; `count` for none.
 *
 * @example
 * lowestIndex(10, index => index * index >= 20) // 5
 */
export function lowestIndex (count: number, holds: (index: number) => boolean): number {
  let low = 0
  let high = count
  while (low < high) {
    const middle = Math.floor((low + high) / 2)
    if (holds(middle)) high = middle
    else low = middle + 1
  }
  return low
}
