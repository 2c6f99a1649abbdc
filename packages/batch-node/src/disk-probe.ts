/** Waits at the start for a disk that takes no bytes for the moment. */
import { open, rm } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import type { EventLog } from '@comfreygrade/core'

/** More than the first writes of a control node. */
const PROBE_BYTES = 65_536
/** Interval between trials. */
const RETRY_MS = 500
const FULL_CODES: readonly unknown[] = ['ENOSPC', 'EDQUOT']

/** Writes a little and removes it again. */
export type DiskProbe = (folder: string) => Promise<void>

/**
 * Returns once the disk takes bytes. A process that ended instead would be started over and over while the disk is
 * full.
 *
 * @example
 * await waitForDisk('/data/control/log', log)
 */
export async function waitForDisk (
  folder: string, log: EventLog, probe: DiskProbe = writeProbe, retryMs = RETRY_MS
): Promise<void> {
  let isFull = await isDiskFull(folder, probe)
  if (!isFull) return
  log.warn('disk is full', { folder })
  while (isFull) {
    await pause(retryMs)
    isFull = await isDiskFull(folder, probe)
  }
  log.info('disk takes bytes again', { folder })
}

async function isDiskFull (folder: string, probe: DiskProbe): Promise<boolean> {
  try {
    await probe(folder)
    return false
  } catch (error) {
    if (FULL_CODES.includes((error as NodeJS.ErrnoException).code)) return true
    throw error
  }
}

async function writeProbe (folder: string): Promise<void> {
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
