/** Checks that a value is plain data, which the encoding of the log and of messages reads back as it was. */

/** The first value that is not plain data. */
export interface NonPlainValue {
  /** Field names and indexes that lead to it, separated by dots; empty for the value itself. */
  readonly path: string
  readonly problem: string
}

/** Deeper values would let the recursion of encoders exhaust the stack. */
const MAX_DEPTH = 64

/**
 * Returns the first part of a value that is not plain data; undefined where all of it is. Plain data are texts of
 * well-formed Unicode, numbers, booleans, null, undefined, byte arrays, and arrays and objects of plain data.
 *
 * @example
 * findNonPlainValue({ ends: [{ reason: Object }] }) // { path: 'ends.0.reason', problem: 'function' }
 */
export function findNonPlainValue (value: unknown): NonPlainValue | undefined {
  return findIn(value, [])
}

function findIn (value: unknown, path: readonly string[]): NonPlainValue | undefined {
  const problem = problemOf(value, path.length)
  if (problem !== undefined) return { path: path.join('.'), problem }
  if (typeof value !== 'object' || value === null || value instanceof Uint8Array) return undefined
  for (const [key, field] of Object.entries(value)) {
    const found = findIn(field, [...path, key])
    if (found !== undefined) return found
  }
  return undefined
}

/** What is wrong with a value, apart from its fields. */
function problemOf (value: unknown, depth: number): string | undefined {
  switch (typeof value) {
    case 'string': return value.isWellFormed() ? undefined : 'text that is not well-formed'
    case 'object': break
    case 'number': case 'boolean': case 'undefined': return undefined
    default: return typeof value
  }
  if (value === null || value instanceof Uint8Array) return undefined
  if (depth >= MAX_DEPTH) return 'nesting too deep'
  return Array.isArray(value) || isPlainObject(value) ? undefined : 'object of a class'
}

function isPlainObject (value: object): boolean {
  const prototype: unknown = Object.getPrototypeOf(value)
  return prototype === null || prototype === Object.prototype
}
