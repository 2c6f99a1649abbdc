/** Estimated sizes of entries, so that messages are bounded without knowing their encoding. */
import type { LogEntry } from './messages.js'

const scalarBytes = 9
const entryOverheadBytes = 64

/** Estimate of the encoded size of an entry in bytes; encodings with field names stay close to it. */
export function estimateEntryBytes<Command> (entry: LogEntry<Command>): number {
  return entryOverheadBytes + estimateBytes(entry.body)
}

function estimateBytes (value: unknown): number {
  if (typeof value === 'string') return scalarBytes + value.length
  if (value instanceof Uint8Array) return scalarBytes + value.byteLength
  if (typeof value !== 'object' || value === null) return scalarBytes
  return Object.entries(value).reduce((sum, [key, field]) => sum + key.length + estimateBytes(field), scalarBytes)
}
