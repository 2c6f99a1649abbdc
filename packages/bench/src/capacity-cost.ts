/** Resource use of nodes: the difference between two readings of their status. */
import { setTimeout as delay } from 'node:timers/promises'
import type { StatusAnswer } from '@comfreygrade/cli'
import type { CapacitySystem } from './capacity-system.js'

export type MeasuredRole = 'leader' | 'voter' | 'entry'

/** Resource use of one node over a period. Bytes are frames between nodes, without TCP and IP headers. */
export interface NodeCost {
  readonly role: MeasuredRole
  readonly sentBytesPerSecond: number
  readonly receivedBytesPerSecond: number
  readonly sentBytesByMessage: ReadonlyMap<string, number>
  readonly corePercent: number
  readonly residentMib: number
}

const MIB_BYTES = 1024 * 1024
const SENT_PREFIX = 'peer.sent_bytes'
const RECEIVED_PREFIX = 'peer.received_bytes'
/** Time before a measurement for the JIT to compile the code and for connections to be established. */
const SETTLE_MS = 5_000

/** Measures every node while `work` runs, by readings right before and after it. */
export async function measureCost (system: CapacitySystem, work: () => Promise<void>): Promise<NodeCost[]> {
  const before = await system.statuses()
  await work()
  const after = await system.statuses()
  return after.map((status, index) => costBetween(before[index] ?? status, status))
}

export async function measureIdleCost (system: CapacitySystem, durationMs: number): Promise<NodeCost[]> {
  await delay(SETTLE_MS)
  return await measureCost(system, async () => { await delay(durationMs) })
}

/** Returns the mean over the nodes of one role; undefined if there are none. */
export function meanOfRole (costs: readonly NodeCost[], role: MeasuredRole): NodeCost | undefined {
  const chosen = costs.filter(cost => cost.role === role)
  if (chosen.length === 0) return undefined
  const sum = (read: (cost: NodeCost) => number) => chosen.reduce((total, cost) => total + read(cost), 0)
  const mean = (read: (cost: NodeCost) => number) => sum(read) / chosen.length
  const messages = new Set(chosen.flatMap(cost => [...cost.sentBytesByMessage.keys()]))
  return {
    role,
    sentBytesPerSecond: mean(cost => cost.sentBytesPerSecond),
    receivedBytesPerSecond: mean(cost => cost.receivedBytesPerSecond),
    sentBytesByMessage: new Map([...messages].map(name =>
      [name, mean(cost => cost.sentBytesByMessage.get(name) ?? 0)])),
    corePercent: mean(cost => cost.corePercent),
    residentMib: mean(cost => cost.residentMib)
  }
}

/** Formats the bytes sent per second by kind of message, largest first. */
export function formatSentBytes ({ sentBytesByMessage }: NodeCost): string {
  return [...sentBytesByMessage]
    .filter(([, bytes]) => bytes >= 1)
    .sort(([, left], [, right]) => right - left)
    .map(([name, bytes]) => `${name} ${bytes.toFixed(0)}`)
    .join(', ')
}

function costBetween (before: StatusAnswer, after: StatusAnswer): NodeCost {
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
    sentBytesByMessage: new Map(sent.map(([name, rate]) => [messageName(name), rate])),
    corePercent: (after.processorTimeMs - before.processorTimeMs) / elapsedS / 10,
    residentMib: after.residentMemoryBytes / MIB_BYTES
  }
}

function measuredRole ({ replica }: StatusAnswer): MeasuredRole {
  if (replica === null) return 'entry'
  return replica.role === 'leader' ? 'leader' : 'voter'
}

/** The label with the kind of message is part of the counter's name. */
function messageName (counter: string): string {
  return /message[=:]([a-z_]+)/.exec(counter)?.[1] ?? counter
}
