/**
 * Preloaded into the test runner. When a test times out, the TAP reporter of AVA 7.0 crashes because it reads
 * `originalError`, which errors of the runner itself do not have, so the hung test is not reported. Defining the
 * property on every error, as the error itself, prevents the crash.
 */
// eslint-disable-next-line no-extend-native -- only in this process, and the reporter reads the property of any error
Object.defineProperty(Error.prototype, 'originalError', {
  configurable: true,
  get () { return this }
})
