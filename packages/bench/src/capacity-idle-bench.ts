/** Resource use of idle nodes at several sizes of the cluster. */
import { formatSentBytes, meanOfRole, measureIdleResourceUse, type ResourceUse } from './capacity-cost.js'
import { LocalCluster } from './capacity-system.js'
import type { BenchTable } from './format.js'

interface IdleSize { readonly nodes: number, readonly controlNodes: number }

const SIZES: readonly IdleSize[] = [
  { nodes: 5, controlNodes: 3 },
  { nodes: 9, controlNodes: 3 },
  { nodes: 20, controlNodes: 3 },
  { nodes: 40, controlNodes: 5 }
]
const DURATION_MS = 20_000
const QUICK_DURATION_MS = 5_000
const ROLES = ['leader', 'voter', 'entry'] as const

/** Measures one size after the other; with `quick` only the two smallest. */
export async function run ({ quick }: { readonly quick: boolean }): Promise<BenchTable[]> {
  const rows: string[][] = []
  for (const size of quick ? SIZES.slice(0, 2) : SIZES) {
    const uses = await measureSize(size, quick ? QUICK_DURATION_MS : DURATION_MS)
    rows.push(...ROLES.flatMap(role => toRow(size, meanOfRole(uses, role))))
  }
  const columns = ['nodes, control nodes, role', 'sent B/s', 'received B/s', '% of a core', 'MiB', 'sent B/s by message']
  return [{ title: 'Idle nodes, mean of each role', columns, rows }]
}

async function measureSize (size: IdleSize, durationMs: number): Promise<ResourceUse[]> {
  const cluster = await LocalCluster.start(size)
  try {
    return await measureIdleResourceUse(cluster, durationMs)
  } finally {
    await cluster.stop()
  }
}

function toRow ({ nodes, controlNodes }: IdleSize, use: ResourceUse | undefined): string[][] {
  if (use === undefined) return []
  const { role, sentBytesPerSecond, receivedBytesPerSecond, corePercent, residentMib } = use
  const bytes = [sentBytesPerSecond, receivedBytesPerSecond].map(value => value.toFixed(0))
  const name = `${nodes}, ${controlNodes}, ${role}`
  return [[name, ...bytes, corePercent.toFixed(2), residentMib.toFixed(0), formatSentBytes(use)]]
}
