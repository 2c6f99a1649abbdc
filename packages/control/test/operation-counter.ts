/** Counts operations on collections, so that a test can compare costs without measuring time. */

type Method = (...args: unknown[]) => unknown

const MAP_METHODS = ['get', 'set', 'has', 'delete']
const SET_METHODS = ['add', 'has', 'delete']
/** Methods that may iterate over the whole array; each call counts as the length of the array. */
const ARRAY_METHODS = ['map', 'filter', 'some', 'every', 'find', 'slice', 'splice', 'sort', 'includes', 'flatMap']

/** Runs `action` and returns the number of its operations on maps, sets, arrays and their iterators. */
export function countOperations (action: () => void): number {
  let operations = 0
  const restores = [
    ...MAP_METHODS.map(name => spy(Map.prototype, name, () => { operations += 1 })),
    ...SET_METHODS.map(name => spy(Set.prototype, name, () => { operations += 1 })),
    ...ARRAY_METHODS.map(name => spy(Array.prototype, name, self => { operations += (self as unknown[]).length })),
    ...[new Map().values(), new Set().values(), [].values()].map(iterator =>
      spy(Object.getPrototypeOf(iterator) as object, 'next', () => { operations += 1 }))
  ]
  try {
    action()
  } finally {
    for (const restore of restores) restore()
  }
  return operations
}

function spy (target: object, name: string, onCall: (self: unknown) => void): () => void {
  const original = Reflect.get(target, name) as Method
  const descriptor = Object.getOwnPropertyDescriptor(target, name) ?? {}
  const counted = function (this: unknown, ...args: unknown[]): unknown {
    onCall(this)
    return original.apply(this, args)
  }
  Object.defineProperty(target, name, { ...descriptor, value: counted })
  return () => { Object.defineProperty(target, name, descriptor) }
}
