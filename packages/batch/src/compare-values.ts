/** Comparison of sort keys that cannot be subtracted. */

/**
 * Ascending order of strings by code unit, or of numbers that may be infinite.
 *
 * @example
 * workerIds.sort(compareValues)
 */
export function compareValues<Value extends string | number> (left: Value, right: Value): number {
  return left < right ? -1 : Number(left > right)
}
