import test from 'ava'
import { NullEventLog } from '@comfreygrade/core'
import { waitForDisk } from '../src/index.js'

function failingProbe (code: string, failures: number): { probe: () => Promise<void>, trials: () => number } {
  let trials = 0
  const probe = async (): Promise<void> => {
    trials++
    if (trials <= failures) throw Object.assign(new Error(code), { code })
  }
  return { probe, trials: () => trials }
}

test('a process waits for a full disk and does not end over and over (own day disks)', async t => {
  const { probe, trials } = failingProbe('ENOSPC', 3)
  await waitForDisk('/unused', new NullEventLog(), probe, 1)
  t.is(trials(), 4)
})

test('a disk that fails in another way ends the start, since waiting does not help', async t => {
  const { probe } = failingProbe('EIO', 1)
  await t.throwsAsync(waitForDisk('/unused', new NullEventLog(), probe, 1), { message: 'EIO' })
})
