import { Random } from '@comfreygrade/core'
import {
  defaultReplicaSettings, includesVoter, Replica, isSameVoter, type ConsensusMessage, type LogEntry, type ReplicaEffect,
  type ReplicaEvent, type ReplicaSettings, type Snapshot, type VoterId
} from '../src/index.js'
import { FakeDisk } from './fake-disk.js'
import { HistoryChecker } from './history-checker.js'

/** Implementation faults injected into the adapters, to show that the check of each invariant can fail. */
export type InjectedFault =
  | 'none'
  /** Writes are reported as synced before they are, and their syncs take longer. */
  | 'persist_confirmed_before_sync'
  /** Every response to a vote request grants the vote. */
  | 'vote_always_granted'
  /** One node applies each command twice. */
  | 'entry_applied_twice'
  /** The log times of recovered entries are 0. */
  | 'log_time_reset_on_restart'
  /** A voter that lost its disk starts again with the same disk id and the initial log. */
  | 'disk_id_reused_after_loss'
  /** The monotonic clock of a node stops while its process is paused. */
  | 'clock_stops_while_frozen'
  /** The simulated operator takes a replacement for complete as soon as it was requested once. */
  | 'replacement_assumed_complete'
  /** The leader reports committed proposals as lost. */
  | 'committed_reported_as_lost'
  /** A new disk is initialised with a log in which its replica already is a voter. */
  | 'new_disk_adds_itself'

export interface SimulationOptions {
  readonly seed: number
  readonly replicas: number
  /** Probability that a message is lost or sent twice, each in half of the cases, and that a message is delayed. */
  readonly messageFaultRate?: number
  readonly fault?: InjectedFault
  readonly settings?: Partial<ReplicaSettings>
}

interface ScheduledTask {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

const maxClockRateError = 0.01
const maxNodes = 8

class SimulatedNode {
  id: VoterId
  disk: FakeDisk
  replica: Replica<string> | null = null
  applied: string[] = []
  appliedIndex = 0
  frozenUntilMs = 0
  clockStoppedMs = 0
  /** Changes with each start and crash, so that tasks scheduled for an earlier process are discarded. */
  incarnation = 0
  readonly clockRate: number
  readonly clockOriginMs: number
  wakeAtMs = Infinity

  constructor (id: VoterId, disk: FakeDisk, random: Random) {
    this.id = id
    this.disk = disk
    this.clockRate = 1 + maxClockRateError * (random.nextFloat() * 2 - 1)
    this.clockOriginMs = random.nextInt(0, 1_000_000)
  }

  monotonicMs (nowMs: number): number {
    return this.clockOriginMs + this.clockRate * (nowMs - this.clockStoppedMs)
  }
}

/** Deterministic simulation of replicas with a network, disks and clocks of different rates, driven by one seed. */
export class Simulation {
  readonly history = new HistoryChecker()
  readonly nodes: SimulatedNode[]
  readonly #random: Random
  readonly #options: SimulationOptions
  readonly #cutLinks = new Set<string>()
  readonly #initialVoters: VoterId[]
  #tasks: ScheduledTask[] = []
  #nextTaskOrder = 0
  #proposalCount = 0
  #messageFaultRate: number
  /** The voter set after all completed replacements. */
  #voters: readonly VoterId[]
  #pendingReplacement: { readonly remove: VoterId, readonly add: VoterId } | null = null
  nowMs = 0
  readonly sentCounts = new Map<string, number>()
  onSend: (message: ConsensusMessage<string>) => void = () => {}

  constructor (options: SimulationOptions) {
    this.#options = options
    this.#random = new Random(options.seed)
    this.#messageFaultRate = options.messageFaultRate ?? 0
    this.#initialVoters = Array.from({ length: options.replicas }, (_, n) => ({ nodeId: `n${n}`, diskId: 'd0' }))
    const initial = Replica.initialLog<string>(this.#initialVoters)
    this.nodes = this.#initialVoters.map(id => new SimulatedNode(id, new FakeDisk(initial), this.#random))
    this.#voters = this.#initialVoters
    this.history.recordVoters(this.#initialVoters)
    this.startAll()
  }

  get leader (): SimulatedNode | undefined {
    return this.nodes
      .filter(node => node.replica?.role === 'leader' && node.frozenUntilMs <= this.nowMs)
      .sort((a, b) => (b.replica?.term ?? 0) - (a.replica?.term ?? 0))[0]
  }

  get leaderPosition (): number {
    return this.nodes.findIndex(node => node === this.leader)
  }

  /** The replica of the leader; throws if there is no leader. */
  get leaderReplica (): Replica<string> {
    const replica = this.leader?.replica
    if (replica === undefined || replica === null) throw new Error('no leader')
    return replica
  }

  get isReplacing (): boolean {
    return this.#pendingReplacement !== null
  }

  node (position: number): SimulatedNode {
    return this.nodes[position % this.nodes.length] as SimulatedNode
  }

  start (position: number): void {
    const node = this.node(position)
    if (node.replica !== null) return
    node.incarnation++
    node.applied = []
    node.appliedIndex = 0
    node.replica = new Replica<string>({
      id: node.id,
      settings: { ...defaultReplicaSettings, keepTailEntries: 8, snapshotChunkBytes: 256, ...this.#options.settings },
      recovered: this.#recoverLog(node),
      random: new Random(this.#random.nextInt(1, 1_000_000)),
      originLogTimeMs: this.#random.nextInt(1, 2_000_000_000)
    })
    this.#step(node, { kind: 'tick' })
  }

  #recoverLog (node: SimulatedNode) {
    const { hardState, snapshot, entries } = node.disk.durable
    if (this.#options.fault !== 'log_time_reset_on_restart') return { hardState, snapshot, entries }
    return { hardState, snapshot, entries: entries.map(entry => ({ ...entry, logTimeMs: 0 })) }
  }

  /** Ends a process; a random number of unsynced writes may still reach the disk. */
  crash (position: number): void {
    const node = this.node(position)
    const synced = this.#random.nextInt(0, 3)
    for (let i = 0; i < synced; i++) node.disk.syncOne()
    node.disk.dropUnsyncedWrites()
    node.replica = null
    node.frozenUntilMs = 0
    node.incarnation++
  }

  /** Loses a disk, as when a VM is replaced, and requests a replacement until it completes; one at a time. */
  loseDisk (position: number): void {
    const node = this.node(position)
    if (this.#pendingReplacement !== null || !this.#isVoter(node)) return
    this.crash(position)
    node.disk = new FakeDisk(Replica.emptyLog<string>())
    if (this.#options.fault === 'disk_id_reused_after_loss') node.disk.durable = Replica.initialLog(this.#initialVoters)
    else this.#startReplacement(node)
    this.start(position)
  }

  #startReplacement (node: SimulatedNode): void {
    const remove = node.id
    const add = { nodeId: remove.nodeId, diskId: `d${Number(remove.diskId.slice(1)) + 1}` }
    if (this.#options.fault === 'new_disk_adds_itself') {
      node.disk.durable = Replica.initialLog([add, ...this.#initialVoters.filter(voter => !isSameVoter(voter, remove))])
    }
    node.id = add
    this.#pendingReplacement = { remove, add }
    this.#retryPendingReplacement()
  }

  #isVoter (node: SimulatedNode): boolean {
    return includesVoter(this.#voters, node.id)
  }

  /** Replaces a voter by an additional replica; the replaced one keeps running. */
  replaceWithAdditionalNode (position: number): void {
    const node = this.node(position)
    if (this.#pendingReplacement !== null || !this.#isVoter(node) || this.nodes.length >= maxNodes) return
    const add = { nodeId: `n${this.nodes.length}`, diskId: 'd0' }
    this.addNode(add)
    this.#pendingReplacement = { remove: node.id, add }
    this.#retryPendingReplacement()
  }

  /** Ends all processes at once, as in a power failure. */
  crashAll (): void {
    for (const n of this.nodes.keys()) this.crash(n)
  }

  startAll (): void {
    for (const n of this.nodes.keys()) this.start(n)
  }

  /** Requests the pending replacement from the leader every 400 ms until it completes. */
  #retryPendingReplacement (): void {
    if (this.#pendingReplacement === null) return
    const leader = this.leader
    if (leader !== undefined) {
      this.#step(leader, { kind: 'replace_voter', proposalId: `replace-${this.#nextTaskOrder}`, ...this.#pendingReplacement })
      if (this.#options.fault === 'replacement_assumed_complete') this.#assumeReplacementComplete()
    }
    this.#schedule(400, () => this.#retryPendingReplacement())
  }

  /** Adds and starts a replica with an empty disk. */
  addNode (id: VoterId): void {
    this.nodes.push(new SimulatedNode(id, new FakeDisk(Replica.emptyLog<string>()), this.#random))
    this.start(this.nodes.length - 1)
  }

  /** Requests a replacement from the leader, if there is one. */
  requestReplacement (proposalId: string, remove: VoterId, add: VoterId): void {
    const leader = this.leader
    if (leader !== undefined) this.#step(leader, { kind: 'replace_voter', proposalId, remove, add })
  }

  #assumeReplacementComplete (): void {
    const { remove, add } = this.#pendingReplacement ?? {}
    if (remove === undefined || add === undefined) return
    this.#voters = this.#voters.map(voter => isSameVoter(voter, remove) ? add : voter)
    this.#pendingReplacement = null
  }

  cut (from: number, to: number, isTwoWay: boolean): void {
    this.#cutLinks.add(`${this.node(from).id.nodeId}>${this.node(to).id.nodeId}`)
    if (isTwoWay) this.#cutLinks.add(`${this.node(to).id.nodeId}>${this.node(from).id.nodeId}`)
  }

  isolate (position: number): void {
    for (const other of this.nodes.keys()) if (other !== position) this.cut(position, other, true)
  }

  /** Restores all cut links and ends the faults of messages. */
  heal (): void {
    this.#cutLinks.clear()
    this.#messageFaultRate = 0
  }

  /** Pauses a process; events that arrive meanwhile are handled when it resumes. */
  freeze (position: number, durationMs: number): void {
    const node = this.node(position)
    node.frozenUntilMs = this.nowMs + durationMs
    if (this.#options.fault === 'clock_stops_while_frozen') node.clockStoppedMs += durationMs
  }

  propose (): string | undefined {
    const leader = this.leader
    if (leader === undefined) return undefined
    const proposalId = `p${this.#proposalCount++}`
    this.#step(leader, { kind: 'propose', proposalId, command: proposalId })
    return proposalId
  }

  transferLeadership (): void {
    const leader = this.leader
    if (leader !== undefined) this.#step(leader, { kind: 'step_down' })
  }

  snapshot (position: number): void {
    const node = this.node(position)
    if (node.replica === null || node.appliedIndex === 0 || node.frozenUntilMs > this.nowMs) return
    const content = new TextEncoder().encode(JSON.stringify(node.applied))
    const snapshot: Snapshot = { ...node.replica.describeSnapshot(node.appliedIndex), content }
    node.disk.write({ kind: 'snapshot', snapshot })
    this.#scheduleSync(node)
  }

  run (durationMs: number): void {
    const endMs = this.nowMs + durationMs
    for (;;) {
      const task = this.#tasks[0]
      if (task === undefined || task.atMs > endMs) break
      this.#popTask()
      this.nowMs = Math.max(this.nowMs, task.atMs)
      task.run()
    }
    this.nowMs = endMs
  }

  /** Runs until the condition holds or the time limit is reached; returns whether the condition holds. */
  runUntil (condition: () => boolean, limitMs: number): boolean {
    const endMs = this.nowMs + limitMs
    while (!condition() && this.nowMs < endMs) this.run(5)
    return condition()
  }

  /** Ends all faults, waits until every voter has applied a new proposal, and checks the history. */
  finish (): void {
    this.heal()
    this.startAll()
    const isSettled = this.runUntil(() => this.#pendingReplacement === null && this.leader !== undefined, 20_000)
    if (!isSettled || !this.#isProposalAppliedEverywhere()) this.history.recordViolation('available_with_a_majority', `at ${this.nowMs} ms`)
    const longest = this.nodes.reduce((best, node) => node.applied.length > best.applied.length ? node : best)
    for (const node of this.nodes) this.#checkPrefix(node.applied, longest.applied)
    this.history.finish(longest.applied)
  }

  /** Whether one of several proposals is applied by all voters; a leadership transfer may cause the first to fail. */
  #isProposalAppliedEverywhere (): boolean {
    for (let attempt = 0; attempt < 5; attempt++) {
      const proposalId = this.propose()
      const members = this.nodes.filter(node => this.#isVoter(node))
      const isApplied = (): boolean => members.every(node => node.applied.includes(proposalId ?? ''))
      if (this.runUntil(isApplied, 2_000)) return true
    }
    return false
  }

  #checkPrefix (applied: readonly string[], longest: readonly string[]): void {
    const isPrefix = applied.every((id, position) => longest[position] === id)
    if (!isPrefix) this.history.recordViolation('applied_in_order', 'the applied commands of two replicas differ')
  }

  #schedule (delayMs: number, run: () => void): void {
    const task = { atMs: this.nowMs + delayMs, order: this.#nextTaskOrder++, run }
    let low = 0
    let high = this.#tasks.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((this.#tasks[middle] as ScheduledTask).atMs <= task.atMs) low = middle + 1
      else high = middle
    }
    this.#tasks.splice(low, 0, task)
  }

  #popTask (): void {
    this.#tasks.shift()
  }

  /** Schedules a task for the current process of a node; while the process is frozen, the task is postponed. */
  #scheduleFor (node: SimulatedNode, delayMs: number, run: () => void): void {
    const incarnation = node.incarnation
    const attempt = (): void => {
      if (node.incarnation !== incarnation) return
      if (node.frozenUntilMs > this.nowMs) this.#schedule(node.frozenUntilMs - this.nowMs, attempt)
      else run()
    }
    this.#schedule(delayMs, attempt)
  }

  #step (node: SimulatedNode, event: ReplicaEvent<string>): void {
    const { replica } = node
    if (replica === null) return
    const before = replica.commitIndex
    const localMs = node.monotonicMs(this.nowMs)
    for (const effect of replica.step(event, localMs)) this.#execute(node, effect)
    if (replica.role === 'leader' && replica.commitIndex > before) this.history.checkLeaderCommit(node.id, replica.term)
    if (replica.hasQuorumLease(localMs)) this.history.checkLease(node.id, replica.term)
    this.#scheduleWake(node, replica)
  }

  #scheduleWake (node: SimulatedNode, replica: Replica<string>): void {
    const wakeAtMs = replica.nextWakeAtMs()
    if (wakeAtMs === Infinity || (wakeAtMs === node.wakeAtMs && node.wakeAtMs > node.monotonicMs(this.nowMs))) return
    node.wakeAtMs = wakeAtMs
    // The added microsecond keeps a rounding error from making the tick early on the node's clock.
    const delayMs = Math.max(0.01, (wakeAtMs - node.monotonicMs(this.nowMs)) / node.clockRate + 0.001)
    this.#scheduleFor(node, delayMs, () => {
      if (node.wakeAtMs === wakeAtMs) this.#step(node, { kind: 'tick' })
    })
  }

  #execute (node: SimulatedNode, effect: ReplicaEffect<string>): void {
    switch (effect.kind) {
      case 'send': return this.#send(node, effect.to, effect.message)
      case 'persist': return this.#persist(node, effect)
      case 'apply': return this.#apply(node, effect.entries)
      case 'restore': return this.#restore(node, effect.snapshot)
      case 'role_changed':
        if (effect.role === 'leader') this.history.recordElection(node.id, effect.term)
        return
      case 'proposal_rejected': return this.history.recordRejection(effect.proposalId, effect.reason)
    }
  }

  #persist (node: SimulatedNode, effect: Extract<ReplicaEffect<string>, { kind: 'persist' }>): void {
    const { fault } = this.#options
    for (const { body } of effect.entries) if (body.kind === 'voters') this.history.recordVoters(body.voters)
    node.disk.write(effect)
    if (fault === 'persist_confirmed_before_sync') {
      this.#scheduleFor(node, 0, () => this.#step(node, { kind: 'persisted', persistId: effect.persistId }))
    }
    this.#scheduleSync(node)
  }

  /** A sync takes 1 to 15 ms. */
  #scheduleSync (node: SimulatedNode): void {
    const isSlow = this.#options.fault === 'persist_confirmed_before_sync'
    this.#scheduleFor(node, this.#random.nextInt(1, 15) + (isSlow ? 150 : 0), () => {
      const write = node.disk.syncOne()
      if (write?.kind === 'snapshot') this.#step(node, { kind: 'snapshot_saved', snapshot: write.snapshot })
      if (write?.kind === 'persist') this.#step(node, { kind: 'persisted', persistId: write.persistId })
    })
  }

  /** The one-way delay is 12 ms ± 2 ms; a delayed message takes up to 400 ms longer. */
  #send (node: SimulatedNode, to: VoterId, original: ConsensusMessage<string>): void {
    const isGranted = this.#options.fault === 'vote_always_granted' && original.kind === 'vote_response'
    const message = isGranted ? { ...original, granted: true } : original
    this.sentCounts.set(message.kind, (this.sentCounts.get(message.kind) ?? 0) + 1)
    this.onSend(message)
    this.history.recordMessage(node.id, to, message)
    const receiver = this.nodes.find(candidate => isSameVoter(candidate.id, to))
    if (receiver === undefined || this.#cutLinks.has(`${node.id.nodeId}>${to.nodeId}`)) return
    const from = node.id
    const copies = this.#random.nextFloat() < this.#messageFaultRate ? (this.#random.nextFloat() < 0.5 ? 0 : 2) : 1
    for (let copy = 0; copy < copies; copy++) {
      const isLate = this.#random.nextFloat() < this.#messageFaultRate
      const delayMs = this.#random.nextInt(10, 14) + (isLate ? this.#random.nextInt(0, 400) : 0)
      this.#scheduleFor(receiver, delayMs, () => this.#step(receiver, { kind: 'message', from, message }))
    }
  }

  #apply (node: SimulatedNode, entries: ReadonlyArray<LogEntry<string>>): void {
    this.history.recordApplied(entries)
    const isLeader = node.replica?.role === 'leader'
    for (const { index, body } of entries) {
      if (index !== node.appliedIndex + 1) this.history.recordViolation('applied_in_order', `index ${index} of ${node.id.nodeId}`)
      node.appliedIndex = index
      if (body.kind === 'voters') this.#completeReplacement(body)
      if (body.kind !== 'command') continue
      node.applied.push(body.command)
      if (isLeader) this.history.acknowledged.add(body.proposalId)
      if (isLeader && this.#options.fault === 'committed_reported_as_lost') this.history.recordRejection(body.proposalId, 'lost')
      if (this.#options.fault === 'entry_applied_twice' && node === this.nodes[0]) node.applied.push(body.command)
    }
  }

  #completeReplacement (body: Extract<LogEntry<string>['body'], { kind: 'voters' }>): void {
    if (this.#pendingReplacement === null || body.outgoingVoters.length > 0) return
    if (!includesVoter(body.voters, this.#pendingReplacement.add)) return
    this.#voters = body.voters
    this.#pendingReplacement = null
  }

  #restore (node: SimulatedNode, snapshot: Snapshot): void {
    node.applied = JSON.parse(new TextDecoder().decode(snapshot.content))
    node.appliedIndex = snapshot.lastIndex
  }
}
