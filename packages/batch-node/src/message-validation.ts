/** Checks of messages from other processes, whose types hold only if their sender runs a sound version. */
import {
  byKind, either, hasFields, isAbsent, isArray, isConsensusMessage, isCount, isNull, isNumber, isObject, isPort,
  isString, isVoter, listOf
} from '@comfreygrade/node/adapters'
import type { BatchMessage } from './messages.js'

const isControlNode = hasFields({
  nodeId: isString, host: isString, port: isPort, voter: isVoter, startedWallMs: isNumber
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
    slackFactor: isNumber,
    permittedRegions: either(isAbsent, listOf(isString))
  })),
  services: listOf(hasFields({ name: isString })),
  organisations: listOf(hasFields({
    name: isString,
    apiKeys: listOf(isString),
    guaranteedAccelerators: isNumber,
    permittedRegions: either(isAbsent, listOf(isString))
  })),
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
  wave_state: hasFields({ waveId: isString }),
  start_evacuation: hasFields({ zone: isString, requestedBy: isString }),
  end_evacuation: hasFields({ zone: isString, requestedBy: isString }),
  list_evacuations: isObject
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

const isLimit = either(isAbsent, isCount)
const isClientLimits = hasFields({
  version: isNumber, maxHeaderBytes: isLimit, maxBodyBytes: isLimit, headerTimeoutMs: isLimit, idleTimeoutMs: isLimit
})

const isBatchMessage = byKind({
  hello: hasFields({ nodeId: isString, control: either(isNull, isControlNode) }),
  members: hasFields({
    nodes: listOf(isControlNode),
    leaderNodeId: either(isNull, isString),
    term: either(isAbsent, isCount),
    clientLimits: either(isAbsent, isClientLimits)
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
