import test from 'ava'
import { NullEventLog } from '@comfreygrade/core'
import { waitForDiskSpace } from '../src/index.js'

function failingProbe (code: string, failureCount: number): { probe: () => Promise<void>, attempts: () => number } {
  let attempts = 0
  const probe = async (): Promise<void> => {
    attempts++
    if (attempts <= failureCount) throw Object.assign(new Error(code), { code })
  }
  return { probe, attempts: () => attempts }
}

test('waitForDiskSpace probes until the disk is no longer full, so that the process does not exit and restart repeatedly', async t => {
  const { probe, attempts } = failingProbe('ENOSPC', 3)
  await waitForDiskSpace('/unused', new NullEventLog(), probe, 1)
  t.is(attempts(), 4)
})

test('waitForDiskSpace rejects on any other disk error, since waiting would not resolve it', async t => {
  const { probe } = failingProbe('EIO', 1)
  await t.throwsAsync(waitForDiskSpace('/unused', new NullEventLog(), probe, 1), { message: 'EIO' })
})
