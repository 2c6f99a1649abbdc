/** What the logs of the processes say about one job, step or task of the batch scheduler. */

/** One line of a log, as the processes write it. */
export interface LogLine {
  readonly timeMs: number
  readonly nodeId: string
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** The lines that concern an ID, in order of time, and what follows from the latest of them. */
export interface LogExplanation {
  readonly id: string
  readonly lines: readonly LogLine[]
  readonly conclusions: readonly string[]
}

/** Fields that name a job, or start with its ID and a dot. */
const ID_FIELDS = ['jobId', 'stepKey', 'taskKey', 'lastTaskKey', 'forStepKey'] as const
/** Lines about a worker that concern the runs on it. */
const WORKER_MESSAGES: ReadonlySet<string> = new Set([
  'worker gone', 'worker leaving', 'worker quarantined', 'fillers paced'
])

const WAIT_REASONS: ReadonlyMap<string, string> = new Map([
  ['ticket', 'the advice service has not granted a ticket for it'],
  ['no_worker', 'no worker that can be used could hold a task of it'],
  ['rack', 'no rack has room for the whole gang'],
  ['data_rack', 'the rack that has its data has no room'],
  ['reclaim', 'runs of lower priority are being stopped for it'],
  ['reservation', 'capacity is reserved for it, which other runs still use'],
  ['capacity', 'there is no free capacity for it, and other steps come first'],
  ['state_limit', 'so many tasks have started and are not done that no further one may start']
])

/**
 * Parses one line of a log; text before the JSON object, as log collectors add it, is ignored. Returns undefined for
 * any other line.
 *
 * @example
 * parseLogLine('{"timeMs":1,"nodeId":"a","message":"run assigned","taskKey":"j.0.0.0"}')?.message // 'run assigned'
 */
export function parseLogLine (text: string): LogLine | undefined {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const parsed = JSON.parse(text.slice(start)) as Record<string, unknown>
    const { timeMs, nodeId, message, level: _level, ...fields } = parsed
    if (typeof timeMs !== 'number' || typeof message !== 'string') return undefined
    return { timeMs, nodeId: String(nodeId), message, fields }
  } catch {
    return undefined
  }
}

/**
 * Collects the lines about a job, a step (`JOB.OCCURRENCE.STEP`) or a task, and says what it waits for or how it ended.
 *
 * @example
 * explainFromLog(text.split('\n').flatMap(line => parseLogLine(line) ?? []), '5c0e.0.1').conclusions
 */
export function explainFromLog (lines: readonly LogLine[], id: string): LogExplanation {
  const ordered = [...lines].sort((left, right) => left.timeMs - right.timeMs)
  const own = ordered.filter(line => concerns(line, id))
  const workerIds = new Set(own.flatMap(({ fields }) => typeof fields.workerId === 'string' ? [fields.workerId] : []))
  const isAboutWorker = ({ message, fields }: LogLine): boolean =>
    WORKER_MESSAGES.has(message) && workerIds.has(String(fields.workerId))
  const relevant = ordered.filter(line => own.includes(line) || isAboutWorker(line))
  return { id, lines: relevant, conclusions: own.length === 0 ? ['no line of the logs names it'] : conclude(own) }
}

function concerns ({ fields }: LogLine, id: string): boolean {
  if (typeof fields.path === 'string' && fields.path.endsWith(`/${id}`)) return true
  return ID_FIELDS.some(name => {
    const value = fields[name]
    return typeof value === 'string' && (value === id || value.startsWith(`${id}.`))
  })
}

function conclude (lines: readonly LogLine[]): string[] {
  const ended = lines.findLast(line => line.message === 'job ended')
  if (ended !== undefined) return [`the job ended as ${String(ended.fields.outcome)}`]
  const cancelled = lines.findLast(line => line.message === 'job cancellation settled')
  if (cancelled !== undefined) return [`the job was cancelled (${String(cancelled.fields.outcome)})`]
  const waiting = waitingSteps(lines).map(describeWait)
  const running = runningTaskKeys(lines)
  return [...waiting, ...(running.length === 0 ? [] : [`without a recorded end: ${running.join(', ')}`])]
}

/** The latest line of each step about its wait, where no later line says that a task of it was assigned. */
function waitingSteps (lines: readonly LogLine[]): LogLine[] {
  const waits = new Map<string, LogLine>()
  for (const line of lines) {
    const { stepKey, taskKey } = line.fields
    if (line.message === 'step waits') waits.set(String(stepKey), line)
    if (line.message === 'run assigned') waits.delete(stepKeyOf(String(taskKey)))
  }
  return [...waits.values()]
}

function describeWait ({ fields }: LogLine): string {
  const { stepKey, reason, tasks, waitedMs, expectedStartMs, unschedulableWorkers } = fields
  const expected = expectedStartMs === undefined ? '' : `; expected to start in ${String(expectedStartMs)} ms`
  const cause = WAIT_REASONS.get(String(reason)) ?? String(reason)
  return `step ${String(stepKey)} waits with ${String(tasks)} tasks after ${String(waitedMs)} ms: ${cause}${expected}` +
    describeUnschedulableWorkers(unschedulableWorkers)
}

function describeUnschedulableWorkers (countByReason: unknown): string {
  if (typeof countByReason !== 'object' || countByReason === null) return ''
  const counts = Object.entries(countByReason).map(([reason, count]) => `${String(count)} ${reason}`)
  return `; workers that get no new runs: ${counts.join(', ')}`
}

function runningTaskKeys (lines: readonly LogLine[]): string[] {
  const running = new Set<string>()
  for (const { message, fields } of lines) {
    const key = `${String(fields.taskKey)} run ${String(fields.run)}`
    if (message === 'run assigned') running.add(key)
    if (message === 'run ended') running.delete(key)
  }
  return [...running]
}

function stepKeyOf (taskKey: string): string {
  return taskKey.slice(0, taskKey.lastIndexOf('.'))
}
