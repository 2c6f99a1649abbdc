/** Cost of the nodes of a system between two readings of their status. */
import { setTimeout as delay } from 'node:timers/promises'
import type { StatusAnswer } from '@comfreygrade/cli'
import type { CapacitySystem } from './capacity-system.js'

/** What a node does in a measured system. */
export type MeasuredRole = 'leader' | 'voter' | 'entry'

/** Cost of one node over a time. Bytes are frames between nodes, without the headers of TCP and IP. */
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
/** Time for code to be compiled and links to settle before a measurement. */
const SETTLE_MS = 5_000

/** Measures every node while `work` runs; the readings are taken right before and after it. */
export async function measureCost (system: CapacitySystem, work: () => Promise<void>): Promise<NodeCost[]> {
  const before = await system.statuses()
  await work()
  const after = await system.statuses()
  return after.map((status, index) => costBetween(before[index] ?? status, status))
}

/** Measures nodes that have nothing to do. */
export async function measureIdleCost (system: CapacitySystem, durationMs: number): Promise<NodeCost[]> {
  await delay(SETTLE_MS)
  return await measureCost(system, async () => { await delay(durationMs) })
}

/** Mean cost of the nodes of one role. */
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

/** The largest messages of a node, for a cell of a table. */
export function formatMessages ({ sentBytesByMessage }: NodeCost): string {
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
    role: roleOf(after),
    sentBytesPerSecond: sum(sent),
    receivedBytesPerSecond: sum(received),
    sentBytesByMessage: new Map(sent.map(([name, rate]) => [messageOf(name), rate])),
    corePercent: (after.processorTimeMs - before.processorTimeMs) / elapsedS / 10,
    residentMib: after.residentMemoryBytes / MIB_BYTES
  }
}

function roleOf ({ replica }: StatusAnswer): MeasuredRole {
  if (replica === null) return 'entry'
  return replica.role === 'leader' ? 'leader' : 'voter'
}

/** Counters carry their tags in the name. */
function messageOf (counter: string): string {
  return /message[=:]([a-z_]+)/.exec(counter)?.[1] ?? counter
}
