/** Disk of a control node: recovers its log, or writes the initial log when the system is bootstrapped. */
import type { BatchCommand } from '@comfreygrade/batch'
import { Replica, type LogStorage, type RecoveredLog, type VoterId } from '@comfreygrade/consensus'
import {
  FileLog, OsLogFileSystem, readOrCreateDiskId, type LogFileSystem, type PeerAddress
} from '@comfreygrade/node/adapters'

/** Disk ID of every seed at bootstrap; fixed, so that all seeds derive the same voter set without communication. */
const INITIAL_DISK_ID = 'first'

/** An open disk with the log that was recovered from it. */
export interface ControlDisk {
  readonly diskId: string
  readonly storage: LogStorage<BatchCommand>
  readonly recovered: RecoveredLog<BatchCommand>
}

/**
 * Opens the log in a folder. When the system is bootstrapped, the seeds are the initial voters and each writes the same
 * initial log. Any other node with an empty folder starts with an empty log until a leader adds it as a voter.
 * `isInitialVoter` must be false at later starts: a seed that has lost its disk would return as the same voter with a
 * fresh initial log.
 *
 * @example
 * const disk = await openControlDisk('/data/control/log', seeds, isBootstrap && isSeed)
 */
export async function openControlDisk (
  folder: string, seeds: readonly PeerAddress[], isInitialVoter: boolean,
  fileSystem: LogFileSystem = new OsLogFileSystem()
): Promise<ControlDisk> {
  const diskId = await readOrCreateDiskId(folder, fileSystem, isInitialVoter ? INITIAL_DISK_ID : undefined)
  const storage = new FileLog<BatchCommand>(folder, { fileSystem })
  const recovered = await storage.recover()
  if (recovered.snapshot !== null || recovered.entries.length > 0) return { diskId, storage, recovered }
  if (!isInitialVoter) return { diskId, storage, recovered: Replica.emptyLog() }
  const initialLog = Replica.initialLog<BatchCommand>(initialVoters(seeds))
  await storage.persist({ kind: 'persist', persistId: 0, hardState: initialLog.hardState, entries: initialLog.entries })
  return { diskId, storage, recovered: initialLog }
}

/** Every process is given the same seeds at bootstrap; sorting them makes the set the same on each. */
function initialVoters (seeds: readonly PeerAddress[]): VoterId[] {
  const voters = seeds.map(({ nodeId }) => ({ nodeId, diskId: INITIAL_DISK_ID }))
  return voters.sort((left, right) => left.nodeId < right.nodeId ? -1 : 1)
}
