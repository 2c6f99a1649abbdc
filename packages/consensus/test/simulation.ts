import { Random } from '@comfreygrade/core'
import {
  defaultReplicaSettings, includesVoter, Replica, sameVoter, type ConsensusMessage, type LogEntry, type ReplicaEffect,
  type ReplicaEvent, type ReplicaSettings, type Snapshot, type VoterId
} from '../src/index.js'
import { FakeDisk } from './fake-disk.js'
import { History } from './history.js'

/** Faults put into the adapters, to show that a rule of the history is able to fail. */
export type Mutation =
  | 'none'
  | 'persisted_before_sync'
  | 'vote_always_granted'
  | 'entry_applied_twice'
  | 'log_time_forgotten'
  | 'former_disk_id_kept'
  | 'clock_stops_while_frozen'
  | 'accepted_counts_as_replaced'
  | 'lost_reported_early'
  | 'new_disk_adds_itself'

export interface SimulationOptions {
  readonly seed: number
  readonly replicas: number
  readonly dropRate?: number
  readonly mutation?: Mutation
  readonly settings?: Partial<ReplicaSettings>
}

interface Task {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

const maxClockDrift = 0.01
const maxNodes = 8

class Node {
  id: VoterId
  disk: FakeDisk
  replica: Replica<string> | null = null
  applied: string[] = []
  appliedIndex = 0
  frozenUntilMs = 0
  stoppedMs = 0
  /** Increases with each start, so that tasks of an earlier process are dropped. */
  run = 0
  readonly rate: number
  readonly originMs: number
  wakeAtMs = Infinity

  constructor (id: VoterId, disk: FakeDisk, random: Random) {
    this.id = id
    this.disk = disk
    this.rate = 1 + maxClockDrift * (random.nextFloat() * 2 - 1)
    this.originMs = random.nextInt(0, 1_000_000)
  }

  localMs (nowMs: number): number {
    return this.originMs + this.rate * (nowMs - this.stoppedMs)
  }
}

/** Replicas with a fake network, fake disks and clocks of different rates, run event by event from one seed. */
export class Simulation {
  readonly history = new History()
  readonly nodes: Node[]
  readonly #random: Random
  readonly #options: SimulationOptions
  readonly #cuts = new Set<string>()
  readonly #initialVoters: VoterId[]
  #tasks: Task[] = []
  #order = 0
  #proposals = 0
  #dropRate: number
  /** The voter set as far as replacements are through. */
  #members: readonly VoterId[]
  #replacing: { readonly remove: VoterId, readonly add: VoterId } | null = null
  nowMs = 0
  readonly sentKinds = new Map<string, number>()
  onSend: (message: ConsensusMessage<string>) => void = () => {}

  constructor (options: SimulationOptions) {
    this.#options = options
    this.#random = new Random(options.seed)
    this.#dropRate = options.dropRate ?? 0
    this.#initialVoters = Array.from({ length: options.replicas }, (_, n) => ({ nodeId: `n${n}`, diskId: 'd0' }))
    const initial = Replica.initialLog<string>(this.#initialVoters)
    this.nodes = this.#initialVoters.map(id => new Node(id, new FakeDisk(initial), this.#random))
    this.#members = this.#initialVoters
    this.history.votersKnown(this.#initialVoters)
    this.startAll()
  }

  get leader (): Node | undefined {
    return this.nodes
      .filter(node => node.replica?.role === 'leader' && node.frozenUntilMs <= this.nowMs)
      .sort((a, b) => (b.replica?.term ?? 0) - (a.replica?.term ?? 0))[0]
  }

  get leaderNumber (): number {
    return this.nodes.findIndex(node => node === this.leader)
  }

  /** The replica that leads; fails without one. */
  get leading (): Replica<string> {
    const replica = this.leader?.replica
    if (replica === undefined || replica === null) throw new Error('no leader')
    return replica
  }

  get isReplacing (): boolean {
    return this.#replacing !== null
  }

  node (n: number): Node {
    return this.nodes[n % this.nodes.length] as Node
  }

  start (n: number): void {
    const node = this.node(n)
    if (node.replica !== null) return
    node.run++
    node.applied = []
    node.appliedIndex = 0
    node.replica = new Replica<string>({
      id: node.id,
      settings: { ...defaultReplicaSettings, keepTailEntries: 8, snapshotChunkBytes: 256, ...this.#options.settings },
      recovered: this.#recovered(node),
      random: new Random(this.#random.nextInt(1, 1_000_000)),
      originLogTimeMs: this.#random.nextInt(1, 2_000_000_000)
    })
    this.#step(node, { kind: 'tick' })
  }

  #recovered (node: Node) {
    const { hardState, snapshot, entries } = node.disk.durable
    if (this.#options.mutation !== 'log_time_forgotten') return { hardState, snapshot, entries }
    return { hardState, snapshot, entries: entries.map(entry => ({ ...entry, logTimeMs: 0 })) }
  }

  /** Ends a process; part of what was not synced may have reached the disk. */
  crash (n: number): void {
    const node = this.node(n)
    const synced = this.#random.nextInt(0, 3)
    for (let i = 0; i < synced; i++) node.disk.syncOne()
    node.disk.crash()
    node.replica = null
    node.frozenUntilMs = 0
    node.run++
  }

  /** Loses a disk, as when a VM is replaced, and asks for a replacement until it is through; one at a time. */
  loseDisk (n: number): void {
    const node = this.node(n)
    if (this.#replacing !== null || !this.#isMember(node)) return
    this.crash(n)
    node.disk = new FakeDisk(Replica.emptyLog<string>())
    if (this.#options.mutation === 'former_disk_id_kept') node.disk.durable = Replica.initialLog(this.#initialVoters)
    else this.#replace(node)
    this.start(n)
  }

  #replace (node: Node): void {
    const remove = node.id
    const add = { nodeId: remove.nodeId, diskId: `d${Number(remove.diskId.slice(1)) + 1}` }
    if (this.#options.mutation === 'new_disk_adds_itself') {
      node.disk.durable = Replica.initialLog([add, ...this.#initialVoters.filter(voter => !sameVoter(voter, remove))])
    }
    node.id = add
    this.#replacing = { remove, add }
    this.#requestReplacement()
  }

  #isMember (node: Node): boolean {
    return includesVoter(this.#members, node.id)
  }

  /** Replaces a voter that goes on running by a further replica. */
  replaceRunning (n: number): void {
    const node = this.node(n)
    if (this.#replacing !== null || !this.#isMember(node) || this.nodes.length >= maxNodes) return
    const add = { nodeId: `n${this.nodes.length}`, diskId: 'd0' }
    this.addNode(add)
    this.#replacing = { remove: node.id, add }
    this.#requestReplacement()
  }

  /** A power failure: every process ends at once. */
  crashAll (): void {
    for (const n of this.nodes.keys()) this.crash(n)
  }

  startAll (): void {
    for (const n of this.nodes.keys()) this.start(n)
  }

  #requestReplacement (): void {
    if (this.#replacing === null) return
    const leader = this.leader
    if (leader !== undefined) {
      this.#step(leader, { kind: 'replace_voter', proposalId: `replace-${this.#order}`, ...this.#replacing })
      if (this.#options.mutation === 'accepted_counts_as_replaced') this.#assumeReplaced()
    }
    this.#schedule(400, () => this.#requestReplacement())
  }

  /** Starts a further replica with an empty disk. */
  addNode (id: VoterId): void {
    this.nodes.push(new Node(id, new FakeDisk(Replica.emptyLog<string>()), this.#random))
    this.start(this.nodes.length - 1)
  }

  /** Asks the leader for a replacement. */
  requestReplacement (proposalId: string, remove: VoterId, add: VoterId): void {
    const leader = this.leader
    if (leader !== undefined) this.#step(leader, { kind: 'replace_voter', proposalId, remove, add })
  }

  #assumeReplaced (): void {
    const { remove, add } = this.#replacing ?? {}
    if (remove === undefined || add === undefined) return
    this.#members = this.#members.map(voter => sameVoter(voter, remove) ? add : voter)
    this.#replacing = null
  }

  cut (from: number, to: number, isTwoWay: boolean): void {
    this.#cuts.add(`${this.node(from).id.nodeId}>${this.node(to).id.nodeId}`)
    if (isTwoWay) this.#cuts.add(`${this.node(to).id.nodeId}>${this.node(from).id.nodeId}`)
  }

  isolate (n: number): void {
    for (const other of this.nodes.keys()) if (other !== n) this.cut(n, other, true)
  }

  heal (): void {
    this.#cuts.clear()
    this.#dropRate = 0
  }

  /** Stops a process for a while; what arrives is handled when it resumes. */
  freeze (n: number, durationMs: number): void {
    const node = this.node(n)
    node.frozenUntilMs = this.nowMs + durationMs
    if (this.#options.mutation === 'clock_stops_while_frozen') node.stoppedMs += durationMs
  }

  propose (): string | undefined {
    const leader = this.leader
    if (leader === undefined) return undefined
    const proposalId = `p${this.#proposals++}`
    this.#step(leader, { kind: 'propose', proposalId, command: proposalId })
    return proposalId
  }

  stepDown (): void {
    const leader = this.leader
    if (leader !== undefined) this.#step(leader, { kind: 'step_down' })
  }

  snapshot (n: number): void {
    const node = this.node(n)
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

  /** Runs until the condition holds; whether it did within the limit. */
  runUntil (condition: () => boolean, limitMs: number): boolean {
    const endMs = this.nowMs + limitMs
    while (!condition() && this.nowMs < endMs) this.run(5)
    return condition()
  }

  /** Ends all faults, waits until every replica has everything, and checks the history. */
  finish (): void {
    this.heal()
    this.startAll()
    const isSettled = this.runUntil(() => this.#replacing === null && this.leader !== undefined, 20_000)
    if (!isSettled || !this.#reachesEveryReplica()) this.history.violate('available_with_a_majority', `at ${this.nowMs} ms`)
    const longest = this.nodes.reduce((best, node) => node.applied.length > best.applied.length ? node : best)
    for (const node of this.nodes) this.#checkPrefix(node.applied, longest.applied)
    this.history.finish(longest.applied)
  }

  /** Whether one of a few proposals is applied everywhere; the first may meet a transfer that is under way. */
  #reachesEveryReplica (): boolean {
    for (let attempt = 0; attempt < 5; attempt++) {
      const marker = this.propose()
      const members = this.nodes.filter(node => this.#isMember(node))
      const isApplied = (): boolean => members.every(node => node.applied.includes(marker ?? ''))
      if (this.runUntil(isApplied, 2_000)) return true
    }
    return false
  }

  #checkPrefix (applied: readonly string[], longest: readonly string[]): void {
    const isPrefix = applied.every((id, position) => longest[position] === id)
    if (!isPrefix) this.history.violate('applied_in_order', 'sequences differ')
  }

  #schedule (delayMs: number, run: () => void): void {
    const task = { atMs: this.nowMs + delayMs, order: this.#order++, run }
    let low = 0
    let high = this.#tasks.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((this.#tasks[middle] as Task).atMs <= task.atMs) low = middle + 1
      else high = middle
    }
    this.#tasks.splice(low, 0, task)
  }

  #popTask (): void {
    this.#tasks.shift()
  }

  /** Runs something for the process that is running now, after the end of a freeze. */
  #scheduleFor (node: Node, delayMs: number, run: () => void): void {
    const process = node.run
    const attempt = (): void => {
      if (node.run !== process) return
      if (node.frozenUntilMs > this.nowMs) this.#schedule(node.frozenUntilMs - this.nowMs, attempt)
      else run()
    }
    this.#schedule(delayMs, attempt)
  }

  #step (node: Node, event: ReplicaEvent<string>): void {
    const { replica } = node
    if (replica === null) return
    const before = replica.commitIndex
    const localMs = node.localMs(this.nowMs)
    for (const effect of replica.step(event, localMs)) this.#carryOut(node, effect)
    if (replica.role === 'leader' && replica.commitIndex > before) this.history.leaderCommitted(node.id, replica.term)
    if (replica.hasQuorumLease(localMs)) this.history.leaseHeld(node.id, replica.term)
    this.#scheduleWake(node, replica)
  }

  #scheduleWake (node: Node, replica: Replica<string>): void {
    const wakeAtMs = replica.nextWakeAtMs()
    if (wakeAtMs === Infinity || (wakeAtMs === node.wakeAtMs && node.wakeAtMs > node.localMs(this.nowMs))) return
    node.wakeAtMs = wakeAtMs
    const delayMs = Math.max(0.01, (wakeAtMs - node.localMs(this.nowMs)) / node.rate + 0.001)
    this.#scheduleFor(node, delayMs, () => {
      if (node.wakeAtMs === wakeAtMs) this.#step(node, { kind: 'tick' })
    })
  }

  #carryOut (node: Node, effect: ReplicaEffect<string>): void {
    switch (effect.kind) {
      case 'send': return this.#send(node, effect.to, effect.message)
      case 'persist': return this.#persist(node, effect)
      case 'apply': return this.#apply(node, effect.entries)
      case 'restore': return this.#restore(node, effect.snapshot)
      case 'role_changed':
        if (effect.role === 'leader') this.history.leaderElected(node.id, effect.term)
        return
      case 'proposal_rejected': return this.history.rejected(effect.proposalId, effect.reason)
    }
  }

  #persist (node: Node, effect: Extract<ReplicaEffect<string>, { kind: 'persist' }>): void {
    const { mutation } = this.#options
    for (const { body } of effect.entries) if (body.kind === 'voters') this.history.votersKnown(body.voters)
    node.disk.write(effect)
    if (mutation === 'persisted_before_sync') {
      this.#scheduleFor(node, 0, () => this.#step(node, { kind: 'persisted', persistId: effect.persistId }))
    }
    this.#scheduleSync(node)
  }

  #scheduleSync (node: Node): void {
    const isSlow = this.#options.mutation === 'persisted_before_sync'
    this.#scheduleFor(node, this.#random.nextInt(1, 15) + (isSlow ? 150 : 0), () => {
      const write = node.disk.syncOne()
      if (write?.kind === 'snapshot') this.#step(node, { kind: 'snapshot_saved', snapshot: write.snapshot })
      if (write?.kind === 'persist') this.#step(node, { kind: 'persisted', persistId: write.persistId })
    })
  }

  #send (node: Node, to: VoterId, original: ConsensusMessage<string>): void {
    const isGranted = this.#options.mutation === 'vote_always_granted' && original.kind === 'vote_response'
    const message = isGranted ? { ...original, granted: true } : original
    this.sentKinds.set(message.kind, (this.sentKinds.get(message.kind) ?? 0) + 1)
    this.onSend(message)
    this.history.sent(node.id, to, message)
    const receiver = this.nodes.find(candidate => sameVoter(candidate.id, to))
    if (receiver === undefined || this.#cuts.has(`${node.id.nodeId}>${to.nodeId}`)) return
    const from = node.id
    const copies = this.#random.nextFloat() < this.#dropRate ? (this.#random.nextFloat() < 0.5 ? 0 : 2) : 1
    for (let copy = 0; copy < copies; copy++) {
      const isLate = this.#random.nextFloat() < this.#dropRate
      const delayMs = this.#random.nextInt(10, 14) + (isLate ? this.#random.nextInt(0, 400) : 0)
      this.#scheduleFor(receiver, delayMs, () => this.#step(receiver, { kind: 'message', from, message }))
    }
  }

  #apply (node: Node, entries: ReadonlyArray<LogEntry<string>>): void {
    this.history.applied(entries)
    const isLeader = node.replica?.role === 'leader'
    for (const { index, body } of entries) {
      if (index !== node.appliedIndex + 1) this.history.violate('applied_in_order', `index ${index} of ${node.id.nodeId}`)
      node.appliedIndex = index
      if (body.kind === 'voters') this.#checkReplaced(body)
      if (body.kind !== 'command') continue
      node.applied.push(body.command)
      if (isLeader) this.history.acknowledged.add(body.proposalId)
      if (isLeader && this.#options.mutation === 'lost_reported_early') this.history.rejected(body.proposalId, 'lost')
      if (this.#options.mutation === 'entry_applied_twice' && node === this.nodes[0]) node.applied.push(body.command)
    }
  }

  #checkReplaced (body: Extract<LogEntry<string>['body'], { kind: 'voters' }>): void {
    if (this.#replacing === null || body.outgoingVoters.length > 0) return
    if (!includesVoter(body.voters, this.#replacing.add)) return
    this.#members = body.voters
    this.#replacing = null
  }

  #restore (node: Node, snapshot: Snapshot): void {
    node.applied = JSON.parse(new TextDecoder().decode(snapshot.content))
    node.appliedIndex = snapshot.lastIndex
  }
}
