/** Checks of messages from other processes, whose types hold only if their sender runs a sound version. */
import type { BatchMessage } from './messages.js'

const MAX_PORT = 65_535

type Fields = Readonly<Record<string, unknown>>
type Check = (value: unknown) => boolean

const isString: Check = value => typeof value === 'string'
const isNumber: Check = value => typeof value === 'number' && Number.isFinite(value)
/** Terms, indexes and counts: a value beyond the safe integers could not be increased any more. */
const isCount: Check = value => Number.isSafeInteger(value) && (value as number) >= 0
const isPort: Check = value => isCount(value) && value !== 0 && (value as number) <= MAX_PORT
const isBoolean: Check = value => typeof value === 'boolean'
const isBytes: Check = value => value instanceof Uint8Array
const isAbsent: Check = value => value === undefined
const isNull: Check = value => value === null
const isArray: Check = value => Array.isArray(value)

function isObject (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function hasFields (checks: Readonly<Record<string, Check>>): Check {
  const fields = Object.entries(checks)
  return value => isObject(value) && fields.every(([name, check]) => check(value[name]))
}

function either (...checks: readonly Check[]): Check {
  return value => checks.some(check => check(value))
}

function listOf (check: Check): Check {
  return value => Array.isArray(value) && value.every(check)
}

/** Dispatches on the field `kind`; an unknown kind is not valid. */
function byKind (checks: Readonly<Record<string, Check>>): Check {
  return value => {
    if (!isObject(value) || typeof value.kind !== 'string') return false
    return Object.hasOwn(checks, value.kind) && checks[value.kind]?.(value) === true
  }
}

const isVoter = hasFields({ nodeId: isString, diskId: isString })
const isControlNode = hasFields({
  nodeId: isString, host: isString, port: isPort, voter: isVoter, startedWallMs: isNumber
})

const isEntry = hasFields({
  index: isCount,
  term: isCount,
  logTimeMs: isNumber,
  body: byKind({
    command: hasFields({ proposalId: isString, command: hasFields({ kind: isString }) }),
    voters: hasFields({ voters: listOf(isVoter), outgoingVoters: listOf(isVoter) }),
    noop: isObject
  })
})

const isConsensusMessage = byKind({
  vote_request: hasFields({
    term: isCount, isPreVote: isBoolean, lastIndex: isCount, lastTerm: isCount, isTransfer: isBoolean
  }),
  vote_response: hasFields({ term: isCount, isPreVote: isBoolean, granted: isBoolean }),
  append_request: hasFields({
    term: isCount,
    previousIndex: isCount,
    previousTerm: isCount,
    entries: listOf(isEntry),
    commitIndex: isCount,
    round: isCount
  }),
  append_response: hasFields({ term: isCount, success: isBoolean, matchIndex: isCount, round: isCount }),
  snapshot_chunk: hasFields({
    term: isCount,
    snapshot: hasFields({
      lastIndex: isCount,
      lastTerm: isCount,
      logTimeMs: isNumber,
      voters: listOf(isVoter),
      outgoingVoters: listOf(isVoter)
    }),
    offsetBytes: isCount,
    totalBytes: isCount,
    chunk: isBytes
  }),
  snapshot_ack: hasFields({ term: isCount, lastIndex: isCount, receivedBytes: isCount }),
  transfer_leadership: hasFields({ term: isCount })
})

const isQueueRequest = hasFields({ host: isString, path: isString })
const isShape = hasFields({ cpuMillicores: isNumber, memoryMb: isNumber, acceleratorCount: isNumber })
const isStep = hasFields({
  taskCount: isCount, shape: isShape, estimateMs: isNumber, dependsOn: listOf(isCount)
})

const isDocument = hasFields({
  version: isNumber,
  queues: listOf(hasFields({
    name: isString,
    host: isString,
    pathPrefix: isString,
    service: isString,
    targetLatencyMs: isNumber,
    priority: isNumber,
    maxAttempts: isNumber,
    slackFactor: isNumber
  })),
  services: listOf(hasFields({ name: isString })),
  organisations: listOf(hasFields({ name: isString, apiKeys: listOf(isString), guaranteedAccelerators: isNumber })),
  source: isString
})

const isOperation = byKind({
  submit: hasFields({ request: isQueueRequest, spec: hasFields({ payload: isString, steps: listOf(isStep) }) }),
  job_state: hasFields({ request: isQueueRequest }),
  cancel: hasFields({ request: isQueueRequest }),
  put_configuration: hasFields({ document: isDocument }),
  get_configuration: isObject,
  start_wave: hasFields({
    wave: hasFields({ waveId: isString, vmIds: listOf(isString), maxConcurrent: isCount, durationMs: isNumber })
  }),
  wave_state: hasFields({ waveId: isString })
})

const isReport = hasFields({
  workerId: isString,
  incarnation: isCount,
  service: isString,
  address: isString,
  vmId: isString,
  sequence: isCount,
  state: isString,
  capacity: isShape,
  labels: listOf(isString),
  clockMs: isNumber,
  running: listOf(hasFields({ taskKey: isString, run: isCount, checkpoint: isString, percent: isNumber })),
  ends: listOf(hasFields({
    sequence: isCount, taskKey: isString, run: isCount, reason: isString, checkpoint: isString
  }))
})

const isLeaderRequest = byKind({
  operation: hasFields({ operation: isOperation }),
  report: hasFields({ report: isReport }),
  worker_left: hasFields({ workerId: isString })
})

const isOrders = hasFields({
  recordedEndSequence: isCount, fencingToken: isCount, starts: isArray, stops: isArray, paces: isArray
})

const isSuccess = hasFields({ ok: value => value === true, value: hasFields({ kind: isString }) })
const isFailure = hasFields({ ok: value => value === false, failure: hasFields({ kind: isString, detail: isString }) })

const isLeaderResponse = byKind({
  result: hasFields({ result: either(isSuccess, isFailure) }),
  orders: hasFields({ orders: either(isNull, isOrders), leaderNodeId: isString }),
  not_leader: hasFields({ leaderNodeId: either(isNull, isString) })
})

const isBatchMessage = byKind({
  hello: hasFields({ nodeId: isString, control: either(isNull, isControlNode) }),
  members: hasFields({
    nodes: listOf(isControlNode), leaderNodeId: either(isNull, isString), term: either(isAbsent, isCount)
  }),
  raft: hasFields({ from: isVoter, to: isVoter, message: isConsensusMessage }),
  ask: hasFields({ requestId: isString, ask: isLeaderRequest }),
  answer: hasFields({ requestId: isString, answer: isLeaderResponse }),
  leaving: hasFields({ voter: isVoter })
})

/**
 * Whether a received message has the form of its kind, so that it can be handled without an exception. Fields that a
 * later version adds are allowed.
 *
 * @example
 * isValidMessage({ kind: 'leaving', voter: { nodeId: 'a', diskId: 'd' } }) // true
 */
export function isValidMessage (message: unknown): message is BatchMessage {
  return isBatchMessage(message)
}
