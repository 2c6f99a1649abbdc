/** Size estimates of log entries, so that messages can be bounded without encoding the entries. */
import type { LogEntry } from './messages.js'

/** Estimated size of a number, and overhead of every string, byte array, array and object. */
const scalarBytes = 9
/** Estimated size of the fields of an entry other than its body. */
const entryOverheadBytes = 64

/** Estimates the encoded size of an entry in bytes, assuming an encoding that includes field names. */
export function estimateEntryBytes<Command> (entry: LogEntry<Command>): number {
  return entryOverheadBytes + estimateBytes(entry.body)
}

function estimateBytes (value: unknown): number {
  if (typeof value === 'string') return scalarBytes + value.length
  if (value instanceof Uint8Array) return scalarBytes + value.byteLength
  if (typeof value !== 'object' || value === null) return scalarBytes
  return Object.entries(value).reduce((sum, [key, field]) => sum + key.length + estimateBytes(field), scalarBytes)
}
