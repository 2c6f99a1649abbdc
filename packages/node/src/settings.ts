/** Settings of a node: a YAML file checked by a schema, with all errors reported at once. */
import { isMap, isScalar, LineCounter, parseDocument, type Document } from 'yaml'
import { z } from 'zod'

const identifier = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, 'letters, digits, ".", "_" or "-", at most 64')
const host = z.union([z.ipv4(), z.ipv6()])
const port = z.int().min(1).max(65_535)
const role = z.enum(['entry', 'control'])

const nodeSchema = z.strictObject({
  nodeId: identifier,
  region: identifier,
  availabilityZone: identifier,
  roles: z.array(role).min(1),
  dataFolder: z.string().min(1).optional()
})

const peerNodeSchema = z.strictObject({
  nodeId: identifier,
  host,
  port,
  httpAddress: z.url(),
  region: identifier,
  roles: z.array(role).min(1)
})

const limitsSchema = z.strictObject({
  maxBodyBytes: z.int().min(1024).max(64 * 1024 * 1024).default(8 * 1024 * 1024),
  maxHeaderBytes: z.int().min(1024).max(64 * 1024).default(16 * 1024),
  /** A caller that sends slower than this is disconnected, so that it cannot hold a connection for ever. */
  requestReceiveTimeoutMs: z.int().min(100).max(600_000).default(15_000),
  maxAnswerBytes: z.int().min(1024).max(256 * 1024 * 1024).default(16 * 1024 * 1024),
  shutdownLimitMs: z.int().min(0).max(600_000).default(30_000)
})

const timingSchema = z.strictObject({
  heartbeatIntervalMs: z.int().min(50).max(60_000).default(1_000),
  backendExpireAfterMs: z.int().min(100).max(600_000).default(3_500),
  memberSpreadIntervalMs: z.int().min(10).max(10_000).default(200),
  feedIntervalMs: z.int().min(10).max(10_000).default(500),
  configurationLeaseMs: z.int().min(100).max(60_000).default(5_000),
  peerPingIntervalMs: z.int().min(10).max(10_000).default(500),
  peerSilenceMs: z.int().min(50).max(60_000).default(2_000),
  peerRedialMs: z.int().min(10).max(60_000).default(250),
  controlTimeoutMs: z.int().min(100).max(60_000).default(4_000),
  controlAttemptTimeoutMs: z.int().min(100).max(60_000).default(1_000),
  orderTimeoutMs: z.int().min(50).max(60_000).default(1_500)
})

const storageSchema = z.strictObject({
  snapshotAfterEntries: z.int().min(10).max(10_000_000).default(5_000)
})

/** Numbers of a decision package, where the file may override any of its defaults. */
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
    const message = `must list this node, ${settings.node.nodeId}`
    context.addIssue({ code: 'custom', path: ['peers', 'nodes'], message })
  }
  if (settings.node.roles.includes('control') && settings.node.dataFolder === undefined) {
    context.addIssue({ code: 'custom', path: ['node', 'dataFolder'], message: 'is needed by the role control' })
  }
  const ids = settings.peers.nodes.map(peer => peer.nodeId)
  if (new Set(ids).size !== ids.length) {
    context.addIssue({ code: 'custom', path: ['peers', 'nodes'], message: 'lists a nodeId twice' })
  }
})

/** Checked settings of a node. */
export type Settings = z.infer<typeof settingsSchema>
/** Another node, or this one, as the settings list it. */
export type PeerNode = Settings['peers']['nodes'][number]

/** Default numbers of the decision packages, by section of the file. */
export type OverridableDefaults = Readonly<Record<'routing' | 'placement' | 'consensus' | 'control', object>>

/** One mistake in a settings file. */
export interface SettingsProblem {
  readonly line: number
  readonly field: string
  readonly found: string
  readonly allowed: string
}

/** Outcome of reading settings. */
export type SettingsResult =
  | { readonly ok: true, readonly settings: Settings }
  | { readonly ok: false, readonly problems: readonly SettingsProblem[] }

/**
 * Parses and checks the text of a settings file.
 *
 * @example
 * const result = parseSettings(await readFile('node.yaml', 'utf8'), defaults)
 */
export function parseSettings (text: string, defaults: OverridableDefaults): SettingsResult {
  const lines = new LineCounter()
  const document = parseDocument(text, { lineCounter: lines })
  if (document.errors.length > 0) {
    const problems = document.errors.map(error => ({
      line: error.linePos?.[0].line ?? 1,
      field: '(file)',
      found: error.message.split('\n')[0] ?? '',
      allowed: 'YAML 1.2'
    }))
    return { ok: false, problems }
  }
  const parsed = settingsSchema.safeParse(document.toJS())
  if (!parsed.success) {
    return { ok: false, problems: parsed.error.issues.flatMap(issue => describeIssue(issue, document, lines)) }
  }
  const problems = checkOverrides(parsed.data, defaults, document, lines)
  return problems.length > 0 ? { ok: false, problems } : { ok: true, settings: parsed.data }
}

/**
 * Merges the overrides of the file into the defaults of a decision package.
 *
 * @example
 * mergeOverrides({ heartbeatMs: 100 }, { heartbeatMs: 50 }) // { heartbeatMs: 50 }
 */
export function mergeOverrides<T extends object> (defaults: T, overrides: Readonly<Record<string, number>>): T {
  return { ...defaults, ...overrides }
}

/** One line for people: file, line, field, what was found and what is allowed. */
export function formatProblem (file: string, problem: SettingsProblem): string {
  return `${file}:${problem.line}: ${problem.field}: found ${problem.found}, allowed: ${problem.allowed}`
}

type Path = ReadonlyArray<PropertyKey>

function describeIssue (issue: z.core.$ZodIssue, document: Document, lines: LineCounter): SettingsProblem[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      line: lineOfKey(document, lines, issue.path, key),
      field: [...issue.path, key].join('.'),
      found: 'an unknown field',
      allowed: 'only the fields of docs/operations.md'
    }))
  }
  return [{
    line: lineOf(document, lines, issue.path),
    field: issue.path.join('.') || '(file)',
    found: describeValue(document.getIn(issue.path as Path)),
    allowed: issue.message
  }]
}

function checkOverrides (
  settings: Settings,
  defaults: OverridableDefaults,
  document: Document,
  lines: LineCounter
): SettingsProblem[] {
  const problems: SettingsProblem[] = []
  for (const section of ['routing', 'placement', 'consensus', 'control'] as const) {
    for (const [key, value] of Object.entries(settings[section])) {
      const line = lineOfKey(document, lines, [section], key)
      const field = `${section}.${key}`
      if (typeof Reflect.get(defaults[section], key) !== 'number') {
        const allowed = Object.keys(defaults[section]).join(', ')
        problems.push({ line, field, found: 'an unknown field', allowed })
      } else if (!Number.isFinite(value) || value < 0) {
        problems.push({ line, field, found: String(value), allowed: 'a number of at least 0' })
      }
    }
  }
  return problems
}

function describeValue (value: unknown): string {
  if (value === undefined) return 'nothing'
  if (isMap(value)) return 'a map'
  const plain = isScalar(value) ? value.value : value
  return typeof plain === 'object' && plain !== null ? 'a list or map' : JSON.stringify(plain)
}

function lineOf (document: Document, lines: LineCounter, path: Path): number {
  for (let depth = path.length; depth >= 0; depth--) {
    const node = depth === 0 ? document.contents : document.getIn(path.slice(0, depth), true)
    const range = (node as { range?: [number, number, number] } | undefined)?.range
    if (range !== undefined) return lines.linePos(range[0]).line
  }
  return 1
}

function lineOfKey (document: Document, lines: LineCounter, path: Path, key: string): number {
  const map = path.length === 0 ? document.contents : document.getIn(path, true)
  if (isMap(map)) {
    const pair = map.items.find(item => isScalar(item.key) && item.key.value === key)
    if (pair !== undefined && isScalar(pair.key) && pair.key.range) return lines.linePos(pair.key.range[0]).line
  }
  return lineOf(document, lines, path)
}
