/** Resource use of nodes: the difference between two readings of their status. */
import type { StatusResponse } from '@comfreygrade/cli'
import { pause } from '@comfreygrade/timers'
import type { LocalCluster } from './capacity-system.js'

/** The leader, any other control node (`voter`), or a node without a replica (`entry`), at the end of a measurement. */
export type MeasuredRole = 'leader' | 'voter' | 'entry'

/** Resource use of one node over a period. Bytes are frames between nodes, without TCP and IP headers. */
export interface ResourceUse {
  readonly role: MeasuredRole
  readonly sentBytesPerSecond: number
  readonly receivedBytesPerSecond: number
  readonly sentBytesPerSecondByMessage: ReadonlyMap<string, number>
  readonly corePercent: number
  readonly residentMib: number
}

const MIB_BYTES = 1024 * 1024
const SENT_PREFIX = 'peer.sent_bytes'
const RECEIVED_PREFIX = 'peer.received_bytes'
/** Time before a measurement for the JIT to compile the code and for connections to be established. */
const WARM_UP_MS = 5_000

/** Measures every node while `work` runs, by readings right before and after it. */
export async function measureResourceUse (cluster: LocalCluster, work: () => Promise<void>): Promise<ResourceUse[]> {
  const before = await cluster.statuses()
  await work()
  const after = await cluster.statuses()
  return after.map((status, index) => resourceUseBetween(before[index] ?? status, status))
}

/** Measures the nodes without load, after a warm-up. */
export async function measureIdleResourceUse (cluster: LocalCluster, durationMs: number): Promise<ResourceUse[]> {
  await pause(WARM_UP_MS)
  return await measureResourceUse(cluster, async () => { await pause(durationMs) })
}

/** Returns the mean over the nodes of one role; undefined if there are none. */
export function meanOfRole (uses: readonly ResourceUse[], role: MeasuredRole): ResourceUse | undefined {
  const chosen = uses.filter(use => use.role === role)
  if (chosen.length === 0) return undefined
  const sum = (read: (use: ResourceUse) => number) => chosen.reduce((total, use) => total + read(use), 0)
  const mean = (read: (use: ResourceUse) => number) => sum(read) / chosen.length
  const messages = new Set(chosen.flatMap(use => [...use.sentBytesPerSecondByMessage.keys()]))
  return {
    role,
    sentBytesPerSecond: mean(use => use.sentBytesPerSecond),
    receivedBytesPerSecond: mean(use => use.receivedBytesPerSecond),
    sentBytesPerSecondByMessage: new Map([...messages].map(name =>
      [name, mean(use => use.sentBytesPerSecondByMessage.get(name) ?? 0)])),
    corePercent: mean(use => use.corePercent),
    residentMib: mean(use => use.residentMib)
  }
}

/** Formats the bytes sent per second by kind of message, largest first. */
export function formatSentBytes ({ sentBytesPerSecondByMessage }: ResourceUse): string {
  return [...sentBytesPerSecondByMessage]
    .filter(([, bytes]) => bytes >= 1)
    .sort(([, left], [, right]) => right - left)
    .map(([name, bytes]) => `${name} ${bytes.toFixed(0)}`)
    .join(', ')
}

function resourceUseBetween (before: StatusResponse, after: StatusResponse): ResourceUse {
  const elapsedS = (after.uptimeMs - before.uptimeMs) / 1_000
  const rates = Object.entries(after.counters).map(([name, value]) =>
    [name, (value - (before.counters[name] ?? 0)) / elapsedS] as const)
  const sent = rates.filter(([name]) => name.startsWith(SENT_PREFIX))
  const received = rates.filter(([name]) => name.startsWith(RECEIVED_PREFIX))
  const sum = (items: ReadonlyArray<readonly [string, number]>) => items.reduce((total, [, rate]) => total + rate, 0)
  return {
    role: measuredRole(after),
    sentBytesPerSecond: sum(sent),
    receivedBytesPerSecond: sum(received),
    sentBytesPerSecondByMessage: new Map(sent.map(([name, rate]) => [messageName(name), rate])),
    // 10 ms of processor time per second are 1 % of a core.
    corePercent: (after.processorTimeMs - before.processorTimeMs) / elapsedS / 10,
    residentMib: after.residentMemoryBytes / MIB_BYTES
  }
}

function measuredRole ({ replica }: StatusResponse): MeasuredRole {
  if (replica === null) return 'entry'
  return replica.role === 'leader' ? 'leader' : 'voter'
}

/** Returns the kind of message, which is a label in the counter's name; the whole name if it has none. */
function messageName (counter: string): string {
  return /message[=:]([a-z_]+)/.exec(counter)?.[1] ?? counter
}
