export { FileLog } from './file-log.js'
export { encodeFrame } from './peer-messages.js'
