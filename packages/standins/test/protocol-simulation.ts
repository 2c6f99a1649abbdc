/**
 * Random interleavings of the run protocol: control nodes that take turns as the leader, and workers, with delayed,
 * copied and lost messages, frozen nodes, crashed and leaving workers, reports of other writers, configurations that
 * remove the queue, and proposals that a change of leader drops or keeps. The profile says what else is played.
 */
import { ManualClock } from '@comfreygrade/core'
import {
  defaultBatchSettings, type BatchSettings, type LeaderEvent, type MaintenanceAnswer, type MaintenanceCall,
  type WorkerOrders, type WorkerReport
} from '@comfreygrade/batch'
import { GangMeetings, RunHistory } from '../src/index.js'
import { ProtocolDraws } from './protocol-draws.js'
import { createDocument, JobDraws, MAX_ATTEMPTS } from './protocol-jobs.js'
import { ProtocolNode, type LogEntry, type NodeSnapshot } from './protocol-node.js'
import { ProtocolOperator } from './protocol-operator.js'
import type { Fault, ProtocolProfile } from './protocol-profile.js'
import { DirectRoutes, FollowerRoutes, type RequestRoutes } from './protocol-routes.js'
import { ProtocolSchedule } from './protocol-schedule.js'
import { ProtocolTrace, RecordedTrace } from './protocol-trace.js'
import { ProtocolWorker } from './protocol-worker.js'
import { TracedHistory } from './traced-history.js'

const DISCARDED_DRAWS = 8
const SLOWEST_CLOCK_RATE = 0.98
/** Share of heartbeats that the network delivers a second time, and the longest time until then. */
const COPIED_REPORT_SHARE = 0.1
const MAX_COPY_DELAY_MS = 3_000
/** What a departed worker has listed counts where the heartbeat reached the leader within this time. */
const PROMPT_REPORT_MS = 100
/** Time within which a leader records an end that a worker lists in each heartbeat and whose answers it receives. */
const RECORD_END_TIMEOUT_MS = 2_500
/** Interval at which replicas follow the log, and share of these times at which one keeps a snapshot. */
const FOLLOW_INTERVAL_MS = 100
const SNAPSHOT_SHARE = 0.03
/** Time after the last fault by which every evacuation has ended. */
const LAST_EVACUATION_MS = 10_000
/** Wait for a node that can lead. */
const TERM_RETRY_MS = 100
type NewProposal = Pick<LogEntry, 'proposalId' | 'command'>

interface Proposal extends NewProposal {
  readonly committedAtMs: number
}

/**
 * Runs one seed of a profile and returns the violations.
 *
 * @example
 * simulateProtocol(SHORT_RUNS, 7) // []
 */
export function simulateProtocol (profile: ProtocolProfile, seed: number): string[] {
  return new ProtocolSimulation(profile, seed, createClock(), new ProtocolTrace()).run()
}

/** Runs one seed and returns the lines of its trace, the violations last. */
export function traceProtocol (profile: ProtocolProfile, seed: number): string[] {
  const clock = createClock()
  const trace = new RecordedTrace(clock)
  const violations = new ProtocolSimulation(profile, seed, clock, trace).run()
  return [...trace.lines, ...violations]
}

function createClock (): ManualClock {
  return new ManualClock(1_000_000, 1_700_000_000_000)
}

class ProtocolSimulation {
  readonly #profile: ProtocolProfile
  readonly #random: ProtocolDraws
  readonly #jobs: JobDraws
  readonly #operator: ProtocolOperator
  readonly #clock: ManualClock
  readonly #trace: ProtocolTrace
  readonly #history: RunHistory
  readonly #nodes: ProtocolNode[]
  readonly #workers: ProtocolWorker[] = []
  readonly #departed: ProtocolWorker[] = []
  readonly #log: LogEntry[] = []
  readonly #schedule: ProtocolSchedule
  readonly #routes: RequestRoutes
  /** Proposals of the current term that are not committed yet, in order. */
  #proposals: Proposal[] = []
  #leader: ProtocolNode
  #term = 0
  readonly #leaderIndexes = new Map<number, number>()
  #extraWorkerCount = 0
  /** Workers whose messages are lost in one or both directions until the given time. */
  readonly #requestsLostUntilMs = new Map<string, number>()
  readonly #answersLostUntilMs = new Map<string, number>()
  readonly #snapshots = new Map<ProtocolNode, NodeSnapshot>()
  readonly #gangs: GangMeetings
  readonly #zones = new Map<string, string>()
  /** Highest fencing token of a maintenance call. */
  #maintenanceToken = 0
  readonly #unrecordedEnds = new Set<string>()
  #commitDelayMs = 0

  constructor (profile: ProtocolProfile, seed: number, clock: ManualClock, trace: ProtocolTrace) {
    this.#profile = profile
    this.#clock = clock
    this.#trace = trace
    this.#history = new TracedHistory(MAX_ATTEMPTS, trace)
    this.#random = new ProtocolDraws(seed)
    this.#jobs = new JobDraws(profile, this.#random)
    this.#gangs = new GangMeetings(clock)
    this.#schedule = new ProtocolSchedule(clock)
    const propose = (node: ProtocolNode, proposal: NewProposal): void => { this.#propose(node, proposal) }
    const settings = this.#drawSettings()
    const beginMaintenance = this.#beginMaintenance.bind(this)
    const options = { settings, clock, policies: profile.policies, propose, beginMaintenance }
    this.#nodes = Array.from({ length: profile.nodeCount }, (_, index) =>
      new ProtocolNode({ ...options, log: trace.logOf(index) }))
    this.#leader = this.#nodes[0] as ProtocolNode
    this.#routes = this.#createRoutes()
    this.#operator = new ProtocolOperator({
      profile, random: this.#random, schedule: this.#schedule, routes: this.#routes, leader: () => this.#leader
    })
    const command = { kind: 'put_configuration', document: createDocument(1) } as const
    this.#log.push({ proposalId: '', command, logTimeMs: clock.monotonicMs() })
    this.#startTerm(this.#leader)
    for (const workerId of profile.workerIds) this.#addWorker(workerId)
  }

  run (): string[] {
    this.#scheduleFault()
    this.#scheduleJob()
    if (this.#profile.hasFollowers) this.#followLog()
    this.#schedule.after(this.#profile.faultsEndMs + LAST_EVACUATION_MS, () => { this.#operator.endEvacuations() })
    while (!this.#isOver) this.#step()
    const openJobs = [...this.#leader.state.openJobs()].map(job => `job ${job.spec.jobId} did not end`)
    return [...this.#history.violations, ...this.#unrecordedEnds, ...openJobs, ...this.#differingReplicas()]
  }

  #drawSettings (): BatchSettings {
    const [low, high] = this.#profile.leaseMs
    // The first draws of neighbouring seeds are alike.
    const discardedDraws = low === high ? 0 : DISCARDED_DRAWS
    for (let count = 0; count < discardedDraws; count++) this.#random.nextFloat()
    return { ...defaultBatchSettings, leaseMs: this.#random.inRange(this.#profile.leaseMs) }
  }

  /** A VM stays in its zone. */
  #zoneOf (vmId: string): string {
    const zone = this.#zones.get(vmId) ?? this.#profile.zones[this.#zones.size % this.#profile.zones.length] ?? 'a'
    this.#zones.set(vmId, zone)
    return zone
  }

  get #isOver (): boolean {
    const { faultsEndMs, calmMs, minCalmMs } = this.#profile
    if (this.#schedule.elapsedMs >= faultsEndMs + calmMs) return true
    return this.#schedule.elapsedMs >= faultsEndMs + minCalmMs && [...this.#leader.state.openJobs()].length === 0
  }

  /** The same log gives the same state on each replica, also on one that was restored from a snapshot. */
  #differingReplicas (): string[] {
    if (!this.#profile.hasFollowers) return []
    const [first, ...others] = this.#nodes.map(node => {
      node.stepDown()
      node.catchUp(this.#log)
      return JSON.stringify(node.state.snapshot())
    })
    return others.every(state => state === first) ? [] : ['the states of the replicas differ']
  }

  #createRoutes (): RequestRoutes {
    const { calmDelays, faultsEndMs } = this.#profile
    const options = {
      schedule: this.#schedule,
      random: this.#random,
      nodes: this.#nodes,
      leader: () => this.#leader,
      isCalm: () => calmDelays === 'short' && this.#schedule.elapsedMs >= faultsEndMs
    }
    return this.#profile.hasFollowers ? new FollowerRoutes(options) : new DirectRoutes(options)
  }

  #step (): void {
    this.#schedule.advance(this.#profile.stepMs)
    this.#commitDueProposals()
    this.#schedule.runDue()
    for (const worker of this.#workers) this.#sendDueReport(worker)
    for (const worker of this.#departed) worker.expireEnds()
    for (const node of this.#nodes) if (node.isUp && !node.isFrozen) node.tick()
  }

  // Log

  #propose (node: ProtocolNode, { proposalId, command }: NewProposal): void {
    if (node !== this.#leader || !node.hasQuorumLease) return
    if (this.#random.isDrawn(this.#profile.refusedProposalShare)) {
      this.#trace.add('proposal refused', { kind: command.kind })
      return node.refuseProposal(proposalId)
    }
    const committedAtMs = this.#schedule.nowMs + this.#random.nextInt(5, 40) + this.#commitDelayMs
    this.#proposals.push({ proposalId, command, committedAtMs })
  }

  #commitDueProposals (): void {
    if (this.#leader.isFrozen) return
    while (this.#proposals[0] !== undefined && this.#proposals[0].committedAtMs <= this.#schedule.nowMs) {
      this.#commit([this.#proposals.shift() as Proposal])
      this.#leader.catchUp(this.#log)
    }
  }

  #commit (proposals: readonly Proposal[]): void {
    const logTimeMs = this.#schedule.nowMs
    this.#log.push(...proposals.map(({ proposalId, command }) => ({ proposalId, command, logTimeMs })))
  }

  /** Replicas that do not lead lag behind, and have a snapshot from some time before. */
  #followLog (): void {
    for (const node of this.#nodes) {
      node.follow(this.#log)
      if (node.isUp && this.#random.isDrawn(SNAPSHOT_SHARE)) this.#snapshots.set(node, node.takeSnapshot())
    }
    this.#schedule.after(FOLLOW_INTERVAL_MS, () => { this.#followLog() })
  }

  /** Starts a term on the first of the nodes that can lead, or later where none can. */
  #startTermOnAny (preferred: ProtocolNode, second: ProtocolNode): void {
    const next = [preferred, second, ...this.#nodes].find(node => node.isUp && !node.isFrozen) ?? second
    if (next.isUp) this.#startTerm(next)
    else this.#schedule.after(TERM_RETRY_MS, () => { this.#startTermOnAny(preferred, second) })
  }

  get #isSecondDown (): boolean {
    return this.#nodes.some(node => !node.isUp)
  }

  /** The process is killed, and starts again from its snapshot or, with an empty disk, from that of another one. */
  #restart (node: ProtocolNode): void {
    if (!node.isUp) return
    const wasLeading = node === this.#leader && node.hasQuorumLease
    const snapshot = this.#snapshots.get(node)
    node.kill()
    const others = this.#nodes.filter(other => other !== node && other.isUp)
    const donor = this.#random.pick(others)
    const hasLostDisk = snapshot === undefined || this.#random.nextFloat() < 0.3
    this.#schedule.after(this.#random.nextInt(300, 3_000), () => {
      node.restart(hasLostDisk ? donor.takeSnapshot() : snapshot)
    })
    if (wasLeading) this.#schedule.after(this.#random.nextInt(500, 1_500), () => { this.#startTermOnAny(donor, node) })
  }

  /** Commits the proposals that the new leader already has and drops the others. */
  #startTerm (node: ProtocolNode): void {
    const keptCount = this.#random.nextInt(0, this.#proposals.length)
    this.#commit(this.#proposals.slice(0, keptCount))
    this.#proposals = []
    for (const worker of [...this.#workers, ...this.#departed]) worker.resetKnownEnds()
    node.stepDown()
    node.catchUp(this.#log)
    this.#term++
    this.#leader = node
    if (this.#profile.hasFollowers) this.#leaderIndexes.set(this.#term, this.#nodes.indexOf(node))
    this.#trace.add('term starts', { term: this.#term, node: this.#nodes.indexOf(node) })
    node.lead(this.#term)
    this.#routes.startTerm(node)
  }

  // Faults

  #scheduleFault (): void {
    this.#schedule.after(this.#random.nextInt(50, 1_500), () => {
      if (this.#schedule.elapsedMs >= this.#profile.faultsEndMs) return
      this.#inject(this.#random.pick(this.#profile.faults))
      this.#scheduleFault()
    })
  }

  #inject (fault: Fault): void {
    this.#trace.add(`fault ${fault}`)
    switch (fault) {
      case 'transfer': return this.#changeLeader(this.#random.nextInt(0, 1_500))
      case 'cancel': return this.#operator.cancelJob()
      case 'evacuation': return this.#operator.evacuate(this.#random.pick(this.#profile.zones))
      case 'maintenance': return this.#operator.startWave([this.#random.pick(this.#workers).vmId, this.#random.pick(this.#workers).vmId])
      case 'restart': return this.#isSecondDown ? undefined : this.#restart(this.#random.pick(this.#nodes))
      case 'cut_node': return this.#cutNode(this.#random.pick(this.#nodes))
      case 'freeze': return this.#freeze()
      case 'cut_off': return this.#cutOff(this.#random.pick(this.#workers).workerId)
      case 'crash': return this.#crash(this.#random.pick(this.#workers))
      case 'leave': return this.#leave(this.#random.pick(this.#workers))
      case 'slow_log':
        this.#commitDelayMs = this.#random.nextInt(100, 900)
        return this.#schedule.after(this.#random.nextInt(300, 2_000), () => { this.#commitDelayMs = 0 })
      case 'odd_report': return this.#sendOddReport(this.#random.pick(this.#workers))
      case 'configuration': return this.#operator.replaceConfiguration(this.#random.nextFloat() < 0.5)
      case 'calm': return undefined
    }
  }

  /** The platform terminates what runs on the VM, and a new worker joins later. */
  #beginMaintenance (node: ProtocolNode, call: MaintenanceCall, fencingToken: number): void {
    this.#schedule.after(this.#random.nextInt(5, 300), () => {
      const answer = this.#maintain(call, fencingToken)
      this.#trace.add('maintenance', { ...call, answer })
      const isLost = this.#random.isDrawn(0.1)
      this.#schedule.after(this.#random.nextInt(5, 300), () => {
        node.answerMaintenance(fencingToken, call, isLost ? 'failed' : answer)
      })
    })
  }

  #maintain ({ vmId }: MaintenanceCall, fencingToken: number): MaintenanceAnswer {
    if (fencingToken < this.#maintenanceToken) return 'fenced'
    this.#maintenanceToken = fencingToken
    const worker = this.#workers.find(candidate => candidate.vmId === vmId)
    if (worker === undefined) return 'busy'
    this.#crash(worker)
    return 'begun'
  }

  /** A report under the ID of a worker that the worker cannot have sent. */
  #sendOddReport (worker: ProtocolWorker): void {
    const odd = this.#random.pick<Partial<WorkerReport>>([
      { sequence: 2 ** 50 },
      { clockMs: 1e11 },
      { incarnation: 2 ** 50 },
      { service: 'other' },
      { running: [{ taskKey: 'constructor.0.0.0', run: 2 ** 40, checkpoint: '', percent: 100, usage: 0 }] },
      { ends: [{ sequence: 2 ** 40, taskKey: '__proto__.0.0.0', run: 1, reason: 'done', checkpoint: '' }] }
    ])
    const report = { ...worker.currentReport(), ...odd }
    this.#request(requestId => ({ kind: 'report', requestId, report }))
  }

  /** The old leader loses its lease at once and learns of its successor later; its object acts on until then. */
  #changeLeader (gapMs: number): void {
    const former = this.#leader
    if (!former.hasQuorumLease) return
    former.hasQuorumLease = false
    const next = this.#random.pick(this.#nodes)
    this.#schedule.after(gapMs, () => { this.#startTermOnAny(next, former) })
    if (next === former) return
    this.#schedule.after(this.#random.nextInt(0, 2_500), () => { if (former !== this.#leader) former.stepDown() })
  }

  #freeze (): void {
    const node = this.#random.pick(this.#nodes)
    const durationMs = this.#random.nextInt(300, 5_000)
    node.frozenUntilMs = this.#schedule.nowMs + durationMs
    // A leader that is frozen for longer than its lease is deposed.
    if (node !== this.#leader || durationMs < 500 || !node.hasQuorumLease) return
    node.hasQuorumLease = false
    const other = this.#nodes.find(candidate => candidate !== node) as ProtocolNode
    this.#schedule.after(this.#random.nextInt(500, 1_500), () => { this.#startTermOnAny(other, node) })
  }

  /** No message passes between the node and the others, of which one leads soon. */
  #cutNode (node: ProtocolNode): void {
    node.cutOffUntilMs = this.#schedule.nowMs + this.#random.nextInt(300, 6_000)
    if (node !== this.#leader || !node.hasQuorumLease) return
    node.hasQuorumLease = false
    const next = this.#random.pick(this.#nodes.filter(other => other !== node))
    this.#schedule.after(this.#random.nextInt(500, 1_500), () => { this.#startTermOnAny(next, node) })
  }

  #cutOff (workerId: string): void {
    const untilMs = this.#schedule.nowMs + this.#random.nextInt(500, 6_000)
    const direction = this.#random.pick(['requests', 'answers', 'both'] as const)
    if (direction !== 'answers') this.#requestsLostUntilMs.set(workerId, untilMs)
    if (direction !== 'requests') this.#answersLostUntilMs.set(workerId, untilMs)
  }

  /** The worker restarts under its ID, or another one takes its place on its VM. */
  #crash (worker: ProtocolWorker): void {
    const index = this.#workers.indexOf(worker)
    if (index === -1) return
    this.#workers.splice(index, 1)
    if (worker.isAlive) worker.crash()
    this.#trace.add('is gone', { workerId: worker.workerId })
    const workerId = this.#random.nextFloat() < 0.5 ? worker.workerId : `w${this.#profile.workerIds.length + ++this.#extraWorkerCount}`
    this.#schedule.after(this.#random.nextInt(0, 2_000), () => { this.#addWorker(workerId, worker.vmId) })
    if (this.#workers.length === 0) this.#addWorker(`w${this.#profile.workerIds.length + ++this.#extraWorkerCount}`)
  }

  /** The worker drains, says that it has left, and exits without waiting for an answer. */
  #leave (worker: ProtocolWorker): void {
    worker.prepareToLeave()
    this.#trace.add('leaves', { workerId: worker.workerId })
    this.#schedule.after(this.#random.nextInt(300, 2_000), () => {
      if (!worker.isAlive) return
      const { workerId } = worker
      this.#sayLeft(workerId)
      worker.exit()
      this.#trace.add('exits', { workerId })
      this.#departed.push(worker)
      const remainingMs = Math.max(0, PROMPT_REPORT_MS - worker.sinceReportMs)
      this.#schedule.after(remainingMs, () => { worker.forgetUnknownEnds() })
      this.#crash(worker)
    })
  }

  /** The message that a worker has left may overtake its last heartbeats, or be overtaken by those of others. */
  #sayLeft (workerId: string): void {
    const send = (): void => { this.#request(requestId => ({ kind: 'worker_left', requestId, workerId })) }
    if (this.#profile.hasFollowers) this.#schedule.after(this.#routes.delayMs(), send)
    else send()
  }

  #addWorker (workerId: string, vmId = `vm-${workerId}`): void {
    this.#trace.add('is added', { workerId, vmId })
    this.#workers.push(new ProtocolWorker({
      workerId,
      vmId,
      incarnation: Math.round(this.#clock.wallMs()),
      trueClock: this.#clock,
      clockRate: SLOWEST_CLOCK_RATE + this.#random.nextFloat() * (1 - SLOWEST_CLOCK_RATE),
      history: this.#history,
      gangs: this.#gangs,
      drawStopMs: () => this.#random.inRange(this.#profile.stopMs),
      availabilityZone: this.#zoneOf(vmId),
      nodeCount: this.#profile.hasFollowers ? this.#nodes.length : 1,
      nodeIndexOf: term => this.#leaderIndexes.get(term)
    }))
  }

  // Messages

  #sendDueReport (worker: ProtocolWorker): void {
    const report = worker.takeDueReport()
    if (report === undefined) return
    this.#trace.add('heartbeat', summaryOf(report))
    if (this.#isLost(this.#requestsLostUntilMs, worker)) {
      // A cut may hold a message back instead of losing it.
      if (this.#random.nextFloat() < 0.5) return
    }
    this.#sendCopy(worker, report)
    const sentMs = this.#schedule.nowMs
    const createEvent = (requestId: string): LeaderEvent => {
      if (this.#schedule.nowMs - sentMs <= PROMPT_REPORT_MS) worker.recordPromptReport(report)
      return { kind: 'report', requestId, report }
    }
    this.#schedule.after(this.#routes.delayMs(), () => {
      this.#routes.send({
        createEvent,
        entry: this.#nodes[worker.entryIndex],
        onAnswered: answer => { worker.observeAnswer(answer as WorkerOrders | undefined) },
        reply: answer => { this.#answer(worker, report.sequence, answer as WorkerOrders | undefined | 'refused') }
      })
    })
  }

  #answer (worker: ProtocolWorker, sequence: number, answer: WorkerOrders | undefined | 'refused'): void {
    if (this.#isLost(this.#answersLostUntilMs, worker)) return
    this.#schedule.after(this.#routes.delayMs(), () => {
      const isObeyed = worker.receiveAnswer(sequence, answer)
      const orders = answer === 'refused' ? undefined : answer
      this.#trace.add('answer', { workerId: worker.workerId, sequence, isObeyed, ...orders })
      if (isObeyed) this.#checkUnrecordedEnds(worker, orders)
    })
  }

  #checkUnrecordedEnds (worker: ProtocolWorker, orders: WorkerOrders | undefined): void {
    if (orders === undefined || orders.fencingToken !== this.#term) return
    if (worker.unrecordedMs(orders.fencingToken) <= RECORD_END_TIMEOUT_MS) return
    this.#unrecordedEnds.add(`${worker.workerId} lists ends to the leader of term ${this.#term} that it does not record`)
  }

  /** The network may deliver a heartbeat a second time, seconds later; nobody waits for the answer to that copy. */
  #sendCopy (worker: ProtocolWorker, report: WorkerReport): void {
    if (this.#random.nextFloat() >= COPIED_REPORT_SHARE) return
    this.#schedule.after(this.#random.nextInt(200, MAX_COPY_DELAY_MS), () => {
      this.#routes.send({
        createEvent: requestId => ({ kind: 'report', requestId, report }),
        onAnswered: answer => { worker.observeAnswer(answer as WorkerOrders | undefined) },
        reply: () => {}
      })
    })
  }

  #isLost (untilMsByWorker: ReadonlyMap<string, number>, worker: ProtocolWorker): boolean {
    return this.#schedule.nowMs < (untilMsByWorker.get(worker.workerId) ?? -Infinity)
  }

  #request (createEvent: (requestId: string) => LeaderEvent): void {
    this.#routes.send({ createEvent, onAnswered: () => {}, reply: () => {} })
  }

  // Jobs

  #scheduleJob (): void {
    const { faultsEndMs, jobIntervalMs } = this.#profile
    this.#operator.submit(this.#jobs.next(), this.#jobs.nextQueuePath())
    if (this.#schedule.elapsedMs < faultsEndMs) this.#schedule.after(jobIntervalMs, () => { this.#scheduleJob() })
  }
}

function summaryOf (report: WorkerReport): Readonly<Record<string, unknown>> {
  const { workerId, sequence, state, running, ends } = report
  return {
    workerId,
    sequence,
    state,
    running: running.map(({ taskKey, run }) => `${taskKey}#${run}`),
    ends: ends.map(({ sequence, taskKey, run, reason }) => `${sequence} ${taskKey}#${run} ${reason}`)
  }
}
