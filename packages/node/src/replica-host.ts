/** Runs a state machine on a replicated log: applies committed entries, takes snapshots, follows the replica's role. */
import type { Clock, EventLog, Metrics, Random } from '@comfreygrade/core'
import {
  Replica, type EntryBody, type LogEntry, type LogStorage, type RecoveredLog, type ReplicaEffect,
  type ReplicaSettings, type Snapshot, type VoterId
} from '@comfreygrade/consensus'
import { findNonPlainValue } from './plain-data.js'
import { ReplicaRunner } from './replica-runner.js'

type EffectOf<Command, K extends ReplicaEffect<Command>['kind']> = Extract<ReplicaEffect<Command>, { kind: K }>

/** Deterministic state machine that applies the commands of a replicated log. */
export abstract class StateMachine<Command> {
  /** Applies a committed command; `proposalId` identifies the proposal that it came from. */
  abstract apply (command: Command, proposalId: string, index: number, logTimeMs: number): void
  abstract encodeSnapshot (): Uint8Array
  abstract restore (content: Uint8Array): void
  /** Called when this replica leads and the state includes everything committed in earlier terms. */
  abstract leadershipStarted (term: number): void
  abstract leadershipEnded (): void
  /** Called when this replica learns of another leader of the given term, or that there is none that it knows. */
  leaderChanged (_leader: VoterId | null, _term: number): void {}
  /** `isNeverApplied` is true if the proposal can never be committed, and false if its outcome is unknown. */
  abstract proposalRejected (proposalId: string, isNeverApplied: boolean): void
}

/** Options of {@link ReplicatedStateMachine}. */
export interface ReplicatedStateMachineOptions<Command> {
  readonly self: VoterId
  readonly storage: LogStorage<Command>
  readonly stateMachine: StateMachine<Command>
  readonly replicaSettings: ReplicaSettings
  readonly snapshotAfterEntries: number
  /**
   * Estimated size of the log entries after a snapshot from which the next one is taken. They stay in memory until
   * then, so this bounds the memory of a replica where entries are large. A snapshot that is larger itself counts
   * instead, so that snapshots cost no more than the log.
   */
  readonly snapshotAfterBytes: number
  readonly random: Random
  /** Must advance while the process is stopped, as by SIGSTOP, so that leases expire meanwhile. */
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: EventLog
  readonly send: (effect: EffectOf<Command, 'send'>) => void
  /** The storage or the replica failed; the process must exit without acknowledging anything more. */
  readonly failed: (error: unknown) => void
}

/** Adds a state machine, snapshots and leadership to a replica that a {@link ReplicaRunner} drives. */
export class ReplicatedStateMachine<Command> {
  readonly #options: ReplicatedStateMachineOptions<Command>
  #runner: ReplicaRunner<Command> | undefined
  #appliedIndex = 0
  #appliedTerm = 0
  #snapshotIndex = 0
  #snapshotBytes = 0
  #isSnapshotInProgress = false
  #hasStartedBootstrap = false
  #isLeading = false

  constructor (options: ReplicatedStateMachineOptions<Command>) {
    this.#options = options
  }

  /** The replica, or null until the log is initialised. */
  get replica (): Replica<Command> | null {
    return this.#runner?.replica ?? null
  }

  /** Whether this process has begun to write the first voter set to an empty disk; false after a restart. */
  get hasStartedBootstrap (): boolean {
    return this.#hasStartedBootstrap
  }

  /** Whether this node leads and holds a quorum lease, so that it may serve reads. */
  get isActiveLeader (): boolean {
    return this.#isLeading && (this.replica?.hasQuorumLease(this.#options.clock.monotonicMs()) ?? false)
  }

  /** Bootstraps the log on an empty disk with the first voter set and starts the replica. */
  bootstrap (voters: readonly VoterId[]): void {
    const { storage, failed } = this.#options
    const initial = Replica.initialLog<Command>(voters)
    const { hardState, entries } = initial
    this.#hasStartedBootstrap = true
    storage.persist({ kind: 'persist', persistId: 0, hardState, entries }).then(() => { this.start(initial) }, failed)
  }

  /** Starts the replica from the recovered log. */
  start (recovered: RecoveredLog<Command>): void {
    const { self, replicaSettings, random, clock, storage, failed } = this.#options
    // Log time is the leader's time in the entries, which never decreases: the first leader takes wall time as its
    // origin, and later leaders continue from the log.
    const originLogTimeMs = Math.floor(clock.wallMs())
    const replica = new Replica<Command>({ id: self, settings: replicaSettings, recovered, random, originLogTimeMs })
    this.#runner = new ReplicaRunner(replica, storage, clock, {
      send: this.#options.send,
      apply: effect => { this.#apply(effect) },
      restore: effect => { this.#restore(effect.snapshot) },
      roleChanged: effect => { this.#roleChanged(effect) },
      proposalRejected: effect => { this.#proposalRejected(effect) },
      failed
    })
    this.#runner.step({ kind: 'tick' })
  }

  /** Passes an event to the replica. */
  step (event: Parameters<ReplicaRunner<Command>['step']>[0]): void {
    this.#runner?.step(event)
  }

  /**
   * Proposes a command. One that is not plain data is refused before it reaches the log: it could not be stored or
   * sent, and all entries after it would wait for it.
   */
  propose (proposalId: string, command: Command): void {
    const found = findNonPlainValue(command)
    if (found === undefined) return this.step({ kind: 'propose', proposalId, command })
    this.#options.log.warn('command refused, since it cannot be stored', { command: kindOf(command), ...found })
    this.#options.metrics.increment('consensus.proposal_rejected', { reason: 'not_storable' })
    this.#options.stateMachine.proposalRejected(proposalId, true)
  }

  /** Stops the replica and closes the storage. */
  async stop (): Promise<void> {
    this.#runner?.stop()
    this.#endLeadership()
    await this.#options.storage.close()
  }

  #apply (effect: EffectOf<Command, 'apply'>): void {
    for (const entry of effect.entries) {
      if (entry.body.kind === 'voters') this.#logCommittedVoters(entry.body)
      this.#appliedIndex = entry.index
      this.#appliedTerm = entry.term
      if (entry.body.kind === 'command') this.#applyCommand(entry, entry.body)
    }
    this.#startLeadershipIfCurrent()
    this.#takeSnapshotIfDue(effect)
  }

  /**
   * A command at which the state machine throws is skipped. All replicas skip it alike, since they apply the same
   * commands to the same state; ending would take down every process at this entry, and again at each start.
   */
  #applyCommand (
    { index, logTimeMs }: LogEntry<Command>, { command, proposalId }: Extract<EntryBody<Command>, { kind: 'command' }>
  ): void {
    const { stateMachine, log, metrics } = this.#options
    try {
      stateMachine.apply(command, proposalId, index, logTimeMs)
    } catch (error) {
      // Whether stack and memory suffice depends on the process, so other replicas may have applied the command.
      if (error instanceof RangeError) throw error
      metrics.increment('consensus.command_failed')
      log.warn('command skipped, since it could not be applied', { index, command: kindOf(command), detail: String(error) })
      stateMachine.proposalRejected(proposalId, false)
    }
  }

  #logCommittedVoters ({ voters, outgoingVoters }: Extract<EntryBody<Command>, { kind: 'voters' }>): void {
    if (outgoingVoters.length > 0) return
    this.#options.log.info('voter set in force', { voters: voters.map(voter => `${voter.nodeId}/${voter.diskId}`) })
  }

  #proposalRejected ({ proposalId, reason }: EffectOf<Command, 'proposal_rejected'>): void {
    this.#options.metrics.increment('consensus.proposal_rejected', { reason })
    this.#options.stateMachine.proposalRejected(proposalId, reason !== 'unknown')
  }

  #restore (snapshot: Snapshot): void {
    this.#options.stateMachine.restore(snapshot.content)
    this.#snapshotBytes = snapshot.content.byteLength
    this.#appliedIndex = snapshot.lastIndex
    this.#appliedTerm = snapshot.lastTerm
    this.#snapshotIndex = snapshot.lastIndex
  }

  #roleChanged ({ role, term, leader }: EffectOf<Command, 'role_changed'>): void {
    this.#options.log.info('replica role changed', { role, term, leaderNodeId: leader?.nodeId ?? null })
    this.#options.metrics.increment('consensus.role_changed', { role })
    if (role !== 'leader') this.#endLeadership()
    this.#options.stateMachine.leaderChanged(leader, term)
  }

  /** A leader's state is up to date once it has applied an entry of its own term (Raft, section 8). */
  #startLeadershipIfCurrent (): void {
    const { replica } = this
    if (this.#isLeading || replica?.role !== 'leader' || this.#appliedTerm !== replica.term) return
    this.#isLeading = true
    this.#options.log.info('leadership started', { term: replica.term })
    this.#options.stateMachine.leadershipStarted(replica.term)
  }

  #endLeadership (): void {
    if (!this.#isLeading) return
    this.#isLeading = false
    this.#options.stateMachine.leadershipEnded()
    this.#options.log.info('leadership ended')
  }

  #isSnapshotDue (replica: Replica<Command>): boolean {
    const { snapshotAfterEntries, snapshotAfterBytes } = this.#options
    if (this.#appliedIndex - this.#snapshotIndex >= snapshotAfterEntries) return true
    return replica.bytesAfterSnapshot >= Math.max(snapshotAfterBytes, this.#snapshotBytes)
  }

  #takeSnapshotIfDue (effect: EffectOf<Command, 'apply'>): void {
    const last = effect.entries.at(-1)
    const runner = this.#runner
    if (last === undefined || runner === undefined || this.#isSnapshotInProgress) return
    if (!this.#isSnapshotDue(runner.replica)) return
    const content = this.#options.stateMachine.encodeSnapshot()
    this.#snapshotBytes = content.byteLength
    const snapshot = { ...runner.replica.describeSnapshot(last.index), content }
    this.#isSnapshotInProgress = true
    this.#snapshotIndex = last.index
    this.#options.storage.saveSnapshot(snapshot).then(
      () => {
        this.#isSnapshotInProgress = false
        runner.step({ kind: 'snapshot_saved', snapshot })
      },
      (error: unknown) => { this.#options.failed(error) }
    )
  }
}

/** The kind of a command, for the log. */
function kindOf (command: unknown): string {
  return typeof command === 'object' && command !== null && 'kind' in command ? String(command.kind) : typeof command
}
