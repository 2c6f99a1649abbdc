/** Disk of a control node: what it holds at start, and what the first start of the system writes. */
import type { BatchCommand } from '@comfreygrade/batch'
import { Replica, type LogStorage, type RecoveredLog, type VoterId } from '@comfreygrade/consensus'
import { FileLog, readOrCreateDiskId, type PeerAddress } from '@comfreygrade/node/adapters'

/** Disk ID of the seeds' first start, which every process derives without a word between them. */
const FIRST_DISK_ID = 'first'

/** An open disk. */
export interface ControlDisk {
  readonly diskId: string
  readonly storage: LogStorage<BatchCommand>
  readonly recovered: RecoveredLog<BatchCommand>
}

/**
 * Opens the log in a folder. At the first start of the system the seeds are the voters, and each writes the same first
 * log; any other node with an empty folder waits to be added.
 *
 * @example
 * const disk = await openControlDisk('/data/control/log', seeds, isFirstStart && isSeed)
 */
export async function openControlDisk (
  folder: string, seeds: readonly PeerAddress[], isFirstVoter: boolean
): Promise<ControlDisk> {
  const diskId = await readOrCreateDiskId(folder, undefined, isFirstVoter ? FIRST_DISK_ID : undefined)
  const storage = new FileLog<BatchCommand>(folder)
  const found = await storage.recover()
  if (found.snapshot !== null || found.entries.length > 0) return { diskId, storage, recovered: found }
  if (!isFirstVoter) return { diskId, storage, recovered: Replica.emptyLog() }
  const first = Replica.initialLog<BatchCommand>(firstVoters(seeds))
  await storage.persist({ kind: 'persist', persistId: 0, hardState: first.hardState, entries: first.entries })
  return { diskId, storage, recovered: first }
}

/** Every process gets the same seeds at the first start, so each derives the same set. */
function firstVoters (seeds: readonly PeerAddress[]): VoterId[] {
  const voters = seeds.map(({ nodeId }) => ({ nodeId, diskId: FIRST_DISK_ID }))
  return voters.sort((left, right) => left.nodeId < right.nodeId ? -1 : 1)
}
