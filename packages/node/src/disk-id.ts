/** Identity of a disk: a random ID in its data folder. */
import { randomUUID } from 'node:crypto'
import { join } from 'node:path'
import { FileLogError, guard, NodeLogFiles, temporarySuffix, writeSynced, type LogFiles } from './log-files.js'
import { encodeRecord, readRecords } from './log-records.js'

const diskIdName = 'disk-id'

/**
 * Reads the disk ID of a data folder; writes a random one at the first start, or the one that is given.
 *
 * @example
 * const id = { nodeId: 'salto-1', diskId: await readOrCreateDiskId('/var/lib/comfreygrade') }
 */
export async function readOrCreateDiskId (
  folder: string, files: LogFiles = new NodeLogFiles(), newDiskId: string = randomUUID()
): Promise<string> {
  const path = join(folder, diskIdName)
  await guard('write_failed', folder, 0, async () => await files.makeFolder(folder))
  const names = await guard('read_failed', folder, 0, async () => await files.list(folder))
  if (!names.includes(diskIdName)) return await createDiskId(folder, newDiskId, files)
  const content = await guard('read_failed', path, 0, async () => await files.read(path))
  const { bodies, isTorn } = readRecords<{ diskId: string }>(content, path, true)
  if (isTorn || bodies[0] === undefined) throw new FileLogError('damaged_disk_id', path, 0)
  return bodies[0].diskId
}

async function createDiskId (folder: string, diskId: string, files: LogFiles): Promise<string> {
  const path = join(folder, diskIdName)
  await writeSynced(files, path + temporarySuffix, encodeRecord({ diskId }))
  await guard('write_failed', path, 0, async () => await files.rename(path + temporarySuffix, path))
  await guard('sync_failed', folder, 0, async () => await files.syncFolder(folder))
  return diskId
}
