/** A state machine on a replicated log: applies commits, takes snapshots, follows the role of its replica. */
import type { Clock, EventLog, Metrics, Random } from '@comfreygrade/core'
import {
  Replica, type EntryBody, type LogStorage, type RecoveredLog, type ReplicaEffect, type ReplicaSettings, type Snapshot,
  type VoterId
} from '@comfreygrade/consensus'
import { ReplicaRunner } from './replica-runner.js'

type EffectOf<Command, K extends ReplicaEffect<Command>['kind']> = Extract<ReplicaEffect<Command>, { kind: K }>

/** Deterministic state that a log drives. */
export abstract class StateMachine<Command> {
  /** Applies a committed command; `proposalId` names the proposal that it came from. */
  abstract apply (command: Command, proposalId: string, index: number, logTimeMs: number): void
  abstract encodeSnapshot (): Uint8Array
  abstract restore (content: Uint8Array): void
  /** This replica leads, and the state holds everything that was committed before. */
  abstract leadershipStarted (term: number): void
  abstract leadershipEnded (): void
  /** `isCertain` where the proposal can never take effect. */
  abstract proposalRejected (proposalId: string, isCertain: boolean): void
}

/** Options of {@link ReplicaHost}. */
export interface ReplicaHostOptions<Command> {
  readonly self: VoterId
  readonly storage: LogStorage<Command>
  readonly machine: StateMachine<Command>
  readonly replicaSettings: ReplicaSettings
  readonly snapshotAfterEntries: number
  readonly random: Random
  /** A clock that goes on while the process stands still, so that a lease never outlives a suspension. */
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: EventLog
  readonly send: (effect: EffectOf<Command, 'send'>) => void
  readonly storageFailed: (error: unknown) => void
}

/** Runs one replica and its state machine on the event loop. */
export class ReplicaHost<Command> {
  readonly #options: ReplicaHostOptions<Command>
  #runner: ReplicaRunner<Command> | undefined
  #appliedIndex = 0
  #appliedTerm = 0
  #snapshotIndex = 0
  #isSnapshotUnderWay = false
  #isInitialising = false
  #isLeading = false

  constructor (options: ReplicaHostOptions<Command>) {
    this.#options = options
  }

  /** The replica, or null before its first start is complete. */
  get replica (): Replica<Command> | null {
    return this.#runner?.replica ?? null
  }

  /** Whether the log is being written for the first time. */
  get isInitialising (): boolean {
    return this.#isInitialising
  }

  /** Whether this node leads and may answer reads. */
  get isActiveLeader (): boolean {
    return this.#isLeading && (this.replica?.hasQuorumLease(this.#options.clock.monotonicMs()) ?? false)
  }

  /** Writes the first voter set to an empty disk and starts. */
  initialise (voters: readonly VoterId[]): void {
    const { storage, storageFailed } = this.#options
    const initial = Replica.initialLog<Command>(voters)
    const { hardState, entries } = initial
    this.#isInitialising = true
    storage.persist({ kind: 'persist', persistId: 0, hardState, entries }).then(() => { this.run(initial) }, storageFailed)
  }

  /** Starts from what the disk holds. */
  run (recovered: RecoveredLog<Command>): void {
    const { self, replicaSettings, random, clock, storage, storageFailed } = this.#options
    // Log time starts from wall time at the first leader; later leaders go on from the log.
    const originLogTimeMs = Math.floor(clock.wallMs())
    const replica = new Replica<Command>({ id: self, settings: replicaSettings, recovered, random, originLogTimeMs })
    this.#runner = new ReplicaRunner(replica, storage, clock, {
      send: this.#options.send,
      apply: effect => { this.#apply(effect) },
      restore: effect => { this.#restore(effect.snapshot) },
      roleChanged: effect => { this.#roleChanged(effect) },
      proposalRejected: effect => { this.#proposalRejected(effect) },
      storageFailed
    })
    this.#runner.step({ kind: 'tick' })
  }

  /** Hands an event to the replica. */
  step (event: Parameters<ReplicaRunner<Command>['step']>[0]): void {
    this.#runner?.step(event)
  }

  /** Stops timers and closes the disk. */
  async stop (): Promise<void> {
    this.#runner?.stop()
    this.#endLeadership()
    await this.#options.storage.close()
  }

  #apply (effect: EffectOf<Command, 'apply'>): void {
    for (const entry of effect.entries) {
      if (entry.body.kind === 'voters') this.#votersCommitted(entry.body)
      this.#appliedIndex = entry.index
      this.#appliedTerm = entry.term
      if (entry.body.kind !== 'command') continue
      const { proposalId, command } = entry.body
      this.#options.machine.apply(command, proposalId, entry.index, entry.logTimeMs)
    }
    this.#startLeadershipIfCurrent()
    this.#snapshotIfDue(effect)
  }

  #votersCommitted ({ voters, outgoingVoters }: Extract<EntryBody<Command>, { kind: 'voters' }>): void {
    if (outgoingVoters.length > 0) return
    this.#options.log.info('voter set in force', { voters: voters.map(voter => `${voter.nodeId}/${voter.diskId}`) })
  }

  #proposalRejected ({ proposalId, reason }: EffectOf<Command, 'proposal_rejected'>): void {
    this.#options.metrics.increment('consensus.proposal_rejected', { reason })
    this.#options.machine.proposalRejected(proposalId, reason !== 'unknown')
  }

  #restore (snapshot: Snapshot): void {
    this.#options.machine.restore(snapshot.content)
    this.#appliedIndex = snapshot.lastIndex
    this.#appliedTerm = snapshot.lastTerm
    this.#snapshotIndex = snapshot.lastIndex
  }

  #roleChanged ({ role, term, leader }: EffectOf<Command, 'role_changed'>): void {
    this.#options.log.info('replica role changed', { role, term, leaderNodeId: leader?.nodeId ?? null })
    this.#options.metrics.increment('consensus.role_changed', { role })
    if (role !== 'leader') this.#endLeadership()
  }

  /** The state is complete once an entry of the leader's own term is applied. */
  #startLeadershipIfCurrent (): void {
    const { replica } = this
    if (this.#isLeading || replica?.role !== 'leader' || this.#appliedTerm !== replica.term) return
    this.#isLeading = true
    this.#options.log.info('control leadership started', { term: replica.term })
    this.#options.machine.leadershipStarted(replica.term)
  }

  #endLeadership (): void {
    if (!this.#isLeading) return
    this.#isLeading = false
    this.#options.machine.leadershipEnded()
    this.#options.log.info('control leadership ended')
  }

  #snapshotIfDue (effect: EffectOf<Command, 'apply'>): void {
    const last = effect.entries.at(-1)
    const runner = this.#runner
    if (last === undefined || runner === undefined || this.#isSnapshotUnderWay) return
    if (this.#appliedIndex - this.#snapshotIndex < this.#options.snapshotAfterEntries) return
    const content = this.#options.machine.encodeSnapshot()
    const snapshot = { ...runner.replica.describeSnapshot(last.index), content }
    this.#isSnapshotUnderWay = true
    this.#snapshotIndex = last.index
    this.#options.storage.saveSnapshot(snapshot).then(
      () => {
        this.#isSnapshotUnderWay = false
        runner.step({ kind: 'snapshot_saved', snapshot })
      },
      (error: unknown) => { this.#options.storageFailed(error) }
    )
  }
}
