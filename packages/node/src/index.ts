/** Exports for the benchmarks; other packages use `adapters.ts`. */
export { FileLog } from './file-log.js'
export { encodeFrame } from './peer-messages.js'
