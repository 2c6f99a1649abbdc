/** Waits at startup while the disk is full. */
import { open, rm } from 'node:fs/promises'
import { join } from 'node:path'
import type { EventLog } from '@comfreygrade/core'
import { isDiskFullError } from '@comfreygrade/node/adapters'
import { pause } from '@comfreygrade/timers'

/** Exceeds the first writes of a control node, which follow the probe. */
const PROBE_BYTES = 65_536
const PROBE_INTERVAL_MS = 500

/** Writes a temporary file to a folder; rejects with the error of the file system. */
export type DiskProbe = (folder: string) => Promise<void>

/**
 * Resolves once the disk has free space. A process that exited instead would be restarted repeatedly while the disk is
 * full. Any other error of the probe is passed on.
 *
 * @example
 * await waitForDiskSpace('/data/control/log', log)
 */
export async function waitForDiskSpace (
  folder: string, log: EventLog, probe: DiskProbe = writeProbeFile, intervalMs = PROBE_INTERVAL_MS
): Promise<void> {
  let isFull = await isDiskFull(folder, probe)
  if (!isFull) return
  log.warn('disk is full; waiting for free space', { folder })
  while (isFull) {
    await pause(intervalMs)
    isFull = await isDiskFull(folder, probe)
  }
  log.info('disk has free space again', { folder })
}

async function isDiskFull (folder: string, probe: DiskProbe): Promise<boolean> {
  try {
    await probe(folder)
    return false
  } catch (error) {
    if (isDiskFullError(error)) return true
    throw error
  }
}

async function writeProbeFile (folder: string): Promise<void> {
  const path = join(folder, 'probe')
  const file = await open(path, 'w')
  try {
    await file.write(new Uint8Array(PROBE_BYTES))
    await file.datasync()
  } finally {
    await file.close()
    await rm(path, { force: true })
  }
}
