/** Settings of a node: a YAML file that is validated against a schema, with all errors reported at once. */
import { parseYaml, UNKNOWN_FIELD, type FieldProblem, type ValidationResult } from '@comfreygrade/documents'
import { z } from 'zod'

const identifier = z.string().regex(
  /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, 'a letter or digit, then letters, digits, ".", "_" or "-", at most 64 in all'
)
const host = z.union([z.ipv4(), z.ipv6()], 'an IPv4 or IPv6 address')
const port = z.int().min(1).max(65_535)
/**
 * `control` makes a node run a consensus replica of the control log. Every node serves HTTP, so `entry` changes
 * nothing; it is the role of nodes without a replica, as at least one is required.
 */
const role = z.enum(['entry', 'control'])

const nodeSchema = z.strictObject({
  nodeId: identifier,
  region: identifier,
  availabilityZone: identifier,
  /** Decide what this node runs; not checked against the roles of its own entry in `peers.nodes`. */
  roles: z.array(role).min(1),
  dataFolder: z.string().min(1).optional()
})

const peerNodeSchema = z.strictObject({
  nodeId: identifier,
  host,
  port,
  /** Required, but not used by the node. */
  httpAddress: z.url(),
  /** Required, but not used by the node: its own region is that of `node`. */
  region: identifier,
  /** Nodes with the role `control` are the control nodes that form the first voter set. */
  roles: z.array(role).min(1)
})

const limitsSchema = z.strictObject({
  /** Largest body of a short request; the limit of JSON bodies is fixed. */
  maxBodyBytes: z.int().min(1024).max(64 * 1024 * 1024).default(8 * 1024 * 1024),
  maxHeaderBytes: z.int().min(1024).max(64 * 1024).default(16 * 1024),
  /** Time to receive a whole request; slower callers are disconnected so that they cannot occupy connections. */
  requestReceiveTimeoutMs: z.int().min(100).max(600_000).default(15_000),
  /** Largest answer of a backend server. */
  maxAnswerBytes: z.int().min(1024).max(256 * 1024 * 1024).default(16 * 1024 * 1024),
  /** Bytes of all request bodies, unread answers to callers and answers of backend servers together. */
  bodyBudgetBytes: z.int().min(1024).default(64 * 1024 * 1024),
  maxConnections: z.int().min(1).default(10_000),
  /** Largest share of the budget and of the connections that one address may hold. */
  maxAddressPercent: z.int().min(1).max(100).default(75),
  /** Requests of one connection without a complete answer. */
  maxPipelinedRequests: z.int().min(1).default(8),
  /** Bodies in progress whose chunks are very small. */
  maxFragmentedBodies: z.int().min(1).default(2),
  /** Memory of unfinished frames on links between nodes. */
  maxLinkReceiveBytes: z.int().min(1024).default(64 * 1024 * 1024),
  maxIncomingLinks: z.int().min(1).default(1_000),
  /**
   * Time that a graceful shutdown waits for open requests before it closes the servers and links. Closing the HTTP
   * server waits for requests that still run, so that a shutdown may take longer.
   */
  shutdownLimitMs: z.int().min(0).max(600_000).default(30_000)
})

const timingSchema = z.strictObject({
  /** Interval at which backend servers must announce themselves. */
  heartbeatIntervalMs: z.int().min(50).max(60_000).default(1_000),
  /** Time without an announcement after which a backend server expires. */
  backendExpireAfterMs: z.int().min(100).max(600_000).default(3_500),
  /** Interval at which a node broadcasts new backend server records. */
  memberSpreadIntervalMs: z.int().min(10).max(10_000).default(200),
  /** Interval at which a node requests the configuration feed, which renews its lease. */
  feedIntervalMs: z.int().min(10).max(10_000).default(500),
  /** Time for which a node may serve under its configuration without a renewal. */
  configurationLeaseMs: z.int().min(100).max(60_000).default(5_000),
  /** Interval at which links to peers are pinged and checked for silence. */
  peerPingIntervalMs: z.int().min(10).max(10_000).default(500),
  /** Time without received bytes after which a link is closed. */
  peerSilenceMs: z.int().min(50).max(60_000).default(2_000),
  /** Delay before a closed link is dialled again. */
  peerRedialMs: z.int().min(10).max(60_000).default(250),
  /** Timeout of an operation on the control leader, with all its attempts. */
  controlTimeoutMs: z.int().min(100).max(60_000).default(4_000),
  /** Timeout of one attempt of such an operation. */
  controlAttemptTimeoutMs: z.int().min(100).max(60_000).default(1_000),
  /** Time to wait for a worker's answer to orders. */
  orderTimeoutMs: z.int().min(50).max(60_000).default(1_500)
})

const storageSchema = z.strictObject({
  /** Number of entries applied after a snapshot from which the next one is taken. */
  snapshotAfterEntries: z.int().min(10).max(10_000_000).default(5_000),
  snapshotAfterBytes: z.int().min(100_000).max(1_000_000_000).default(16_000_000)
})

/** Overrides for the numeric defaults of the routing, placement, consensus or control package. */
const overridesSchema = z.record(z.string(), z.number()).default({})

const settingsSchema = z.strictObject({
  node: nodeSchema,
  http: z.strictObject({ host, port }),
  peers: z.strictObject({ host, port, nodes: z.array(peerNodeSchema).min(1) }),
  metrics: z.strictObject({ host, port, prefix: identifier.default('comfreygrade') }).optional(),
  limits: limitsSchema.prefault({}),
  timing: timingSchema.prefault({}),
  storage: storageSchema.prefault({}),
  routing: overridesSchema,
  placement: overridesSchema,
  consensus: overridesSchema,
  control: overridesSchema
}).superRefine((settings, context) => {
  const self = settings.peers.nodes.find(peer => peer.nodeId === settings.node.nodeId)
  if (self === undefined) {
    const message = `a list that includes this node, ${settings.node.nodeId}`
    context.addIssue({ code: 'custom', path: ['peers', 'nodes'], message })
  }
  if (settings.node.roles.includes('control') && settings.node.dataFolder === undefined) {
    context.addIssue({ code: 'custom', path: ['node', 'dataFolder'], message: 'a folder, which the control role requires' })
  }
  const ids = settings.peers.nodes.map(peer => peer.nodeId)
  if (new Set(ids).size !== ids.length) {
    context.addIssue({ code: 'custom', path: ['peers', 'nodes'], message: 'unique node IDs' })
  }
})

/** Validated settings of a node. */
export type Settings = z.infer<typeof settingsSchema>
/** An entry of `peers.nodes`, which lists every node including this one. */
export type PeerNode = Settings['peers']['nodes'][number]

/** Defaults that the settings file can override, by section. */
export type OverridableDefaults = Readonly<Record<'routing' | 'placement' | 'consensus' | 'control', object>>

/**
 * Parses and validates a settings file, reporting all errors at once.
 *
 * @example
 * const reading = readSettings('node.yaml', await readFile('node.yaml', 'utf8'), defaults)
 */
export function readSettings (file: string, text: string, defaults: OverridableDefaults): ValidationResult<Settings> {
  return parseYaml(file, text, settingsSchema, settings => checkOverrides(settings, defaults))
}

/**
 * Applies the overrides of a section of the settings file to its defaults.
 *
 * @example
 * mergeOverrides({ heartbeatMs: 100 }, { heartbeatMs: 50 }) // { heartbeatMs: 50 }
 */
export function mergeOverrides<T extends object> (defaults: T, overrides: Readonly<Record<string, number>>): T {
  return { ...defaults, ...overrides }
}

function checkOverrides (settings: Settings, defaults: OverridableDefaults): FieldProblem[] {
  const problems: FieldProblem[] = []
  for (const section of ['routing', 'placement', 'consensus', 'control'] as const) {
    for (const [key, value] of Object.entries(settings[section])) {
      const path = [section, key]
      if (typeof Reflect.get(defaults[section], key) !== 'number') {
        const allowed = `the fields ${Object.keys(defaults[section]).join(', ')}`
        problems.push({ path, found: UNKNOWN_FIELD, allowed })
      } else if (!Number.isFinite(value) || value < 0) {
        problems.push({ path, found: String(value), allowed: 'a number of at least 0' })
      }
    }
  }
  return problems
}
