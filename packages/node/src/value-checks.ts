/** Checks of values from other processes, whose types hold only if their sender runs a sound version. */

const MAX_PORT = 65_535

type Fields = Readonly<Record<string, unknown>>
/** A check of a value that was received, whose type is not known. */
export type Check = (value: unknown) => boolean

export const isString: Check = value => typeof value === 'string'
export const isNumber: Check = value => typeof value === 'number' && Number.isFinite(value)
/** Terms, indexes and counts: a value beyond the safe integers could not be increased any more. */
export const isCount: Check = value => Number.isSafeInteger(value) && (value as number) >= 0
export const isPort: Check = value => isCount(value) && value !== 0 && (value as number) <= MAX_PORT
export const isBoolean: Check = value => typeof value === 'boolean'
export const isBytes: Check = value => value instanceof Uint8Array
export const isAbsent: Check = value => value === undefined
export const isNull: Check = value => value === null
export const isArray: Check = value => Array.isArray(value)

export function isObject (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

/** An object whose fields pass their checks; it may have others. */
export function hasFields (checks: Readonly<Record<string, Check>>): Check {
  const fields = Object.entries(checks)
  return value => isObject(value) && fields.every(([name, check]) => check(value[name]))
}

/** Passes where one of the checks does. */
export function either (...checks: readonly Check[]): Check {
  return value => checks.some(check => check(value))
}

/** An array whose elements pass the check. */
export function listOf (check: Check): Check {
  return value => Array.isArray(value) && value.every(check)
}

/** Dispatches on the field `kind`; an unknown kind is not valid. */
export function byKind (checks: Readonly<Record<string, Check>>): Check {
  return value => {
    if (!isObject(value) || typeof value.kind !== 'string') return false
    return Object.hasOwn(checks, value.kind) && checks[value.kind]?.(value) === true
  }
}
