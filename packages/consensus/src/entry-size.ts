/** Size estimates of log entries, which bound messages without depending on their encoding. */
import type { LogEntry } from './messages.js'

const scalarBytes = 9
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
