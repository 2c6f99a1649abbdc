/** Disk ID: a random ID stored in the log folder, which distinguishes a node's new disk from a lost one. */
import { randomUUID } from 'node:crypto'
import { join } from 'node:path'
import {
  FileLogError, OsLogFileSystem, TEMPORARY_SUFFIX, withFileLogError, writeAndSync, type LogFileSystem
} from './log-files.js'
import { encodeRecord, readRecords } from './log-records.js'

const DISK_ID_FILE_NAME = 'disk-id'

/**
 * Reads the disk ID of a log folder, or creates it at the first start: `newDiskId`, by default a random one.
 *
 * @example
 * const id = { nodeId: 'salto-1', diskId: await readOrCreateDiskId('/var/lib/comfreygrade') }
 */
export async function readOrCreateDiskId (
  folder: string, fileSystem: LogFileSystem = new OsLogFileSystem(), newDiskId: string = randomUUID()
): Promise<string> {
  const path = join(folder, DISK_ID_FILE_NAME)
  await withFileLogError('write_failed', folder, 0, async () => await fileSystem.createFolder(folder))
  const names = await withFileLogError('read_failed', folder, 0, async () => await fileSystem.list(folder))
  if (!names.includes(DISK_ID_FILE_NAME)) return await createDiskId(folder, newDiskId, fileSystem)
  const content = await withFileLogError('read_failed', path, 0, async () => await fileSystem.read(path))
  const { bodies, isTorn } = readRecords<{ diskId: string }>(content, path, true)
  if (isTorn || bodies[0] === undefined) throw new FileLogError('damaged_disk_id', path, 0)
  return bodies[0].diskId
}

async function createDiskId (folder: string, diskId: string, fileSystem: LogFileSystem): Promise<string> {
  const path = join(folder, DISK_ID_FILE_NAME)
  await writeAndSync(fileSystem, path + TEMPORARY_SUFFIX, encodeRecord({ diskId }, path))
  await withFileLogError('write_failed', path, 0, async () => await fileSystem.rename(path + TEMPORARY_SUFFIX, path))
  await withFileLogError('sync_failed', folder, 0, async () => await fileSystem.syncFolder(folder))
  return diskId
}
