/**
 * Interface to the storage and encoding that the consensus benchmark measures; `NodeAdapters` implements it as in a
 * node.
 */
import type { ConsensusMessage, LogStorage } from '@comfreygrade/consensus'

/** A command of about the size of a claim. */
export interface BenchCommand {
  readonly kind: 'claim_request'
  readonly organisationId: string
  readonly key: string
  readonly digest: string
}

/** Log storage and message encoding under measurement. */
export abstract class ConsensusBenchAdapters {
  /** Opens the log in a folder, which is created if it does not exist. */
  abstract openLog (folder: string): LogStorage<BenchCommand>
  /** Encodes a message as it is sent to a peer. */
  abstract encode (message: ConsensusMessage<BenchCommand>): Uint8Array
}

/** Returns the command with this number. */
export function createBenchCommand (number: number): BenchCommand {
  const digest = String(number).padStart(64, '0')
  return { kind: 'claim_request', organisationId: 'organisation-1', key: `019376f0-${digest.slice(-12)}`, digest }
}
