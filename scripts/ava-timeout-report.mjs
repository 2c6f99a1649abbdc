/**
 * Loaded into the process of the test runner. AVA 7.0 crashes in its TAP reporter when a test times out, because it
 * passes an error of its own where it expects one of a test process, so nothing tells which test hung. An error that
 * stands in for its own original keeps the reporter going.
 */
// eslint-disable-next-line no-extend-native -- only in this process, and the reporter reads the property of any error
Object.defineProperty(Error.prototype, 'originalError', {
  configurable: true,
  get () { return this }
})
