/** Adapters that the consensus benchmark is given, as this package imports decision packages only. */
import type { ConsensusMessage, LogStorage } from '@comfreygrade/consensus'

/** A command of the size of a claim. */
export interface BenchCommand {
  readonly kind: 'claim_request'
  readonly organisationId: string
  readonly key: string
  readonly digest: string
}

/** Disk and encoding under measurement. */
export abstract class ConsensusBenchAdapters {
  /** Opens the log in a folder, which need not exist. */
  abstract openLog (folder: string): LogStorage<BenchCommand>
  /** Encodes a message as it goes over a link. */
  abstract encode (message: ConsensusMessage<BenchCommand>): Uint8Array
}

/** The command with this number. */
export function benchCommand (number: number): BenchCommand {
  const digest = String(number).padStart(64, '0')
  return { kind: 'claim_request', organisationId: 'organisation-1', key: `019376f0-${digest.slice(-12)}`, digest }
}
