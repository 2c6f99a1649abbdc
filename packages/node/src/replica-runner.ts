/** Drives one consensus replica: timers, storage and effects, one event at a time. */
import type { Clock } from '@comfreygrade/core'
import type { LogStorage, Replica, ReplicaEffect, ReplicaEvent } from '@comfreygrade/consensus'
import { startTimer } from '@comfreygrade/timers'

/** Handlers for the effects of a replica, except `persist`, which goes to the storage. */
export interface ReplicaEffectHandlers<Command> {
  readonly send: (effect: Extract<ReplicaEffect<Command>, { kind: 'send' }>) => void
  readonly apply: (effect: Extract<ReplicaEffect<Command>, { kind: 'apply' }>) => void
  readonly restore: (effect: Extract<ReplicaEffect<Command>, { kind: 'restore' }>) => void
  readonly roleChanged: (effect: Extract<ReplicaEffect<Command>, { kind: 'role_changed' }>) => void
  readonly proposalRejected: (effect: Extract<ReplicaEffect<Command>, { kind: 'proposal_rejected' }>) => void
  /** The storage or the replica failed; the process must exit without acknowledging anything more. */
  readonly failed: (error: unknown) => void
}

/**
 * Passes events and timer ticks to a replica and executes its effects.
 * `ReplicatedStateMachine` adds the state machine.
 */
export class ReplicaRunner<Command> {
  readonly replica: Replica<Command>
  readonly #storage: LogStorage<Command>
  readonly #clock: Clock
  readonly #handlers: ReplicaEffectHandlers<Command>
  readonly #queue: Array<ReplicaEvent<Command>> = []
  #isHandlingEvents = false
  #isStopped = false
  #timer: NodeJS.Timeout | undefined

  constructor (
    replica: Replica<Command>,
    storage: LogStorage<Command>,
    clock: Clock,
    handlers: ReplicaEffectHandlers<Command>
  ) {
    this.replica = replica
    this.#storage = storage
    this.#clock = clock
    this.#handlers = handlers
  }

  /**
   * Handles an event; events raised by its effects are queued and handled afterwards. After an exception the state of
   * the replica is not known, so it handles nothing more.
   */
  step (event: ReplicaEvent<Command>): void {
    if (this.#isStopped) return
    this.#queue.push(event)
    if (this.#isHandlingEvents) return
    this.#isHandlingEvents = true
    try {
      this.#handleQueuedEvents()
    } catch (error) {
      this.stop()
      this.#handlers.failed(error)
    }
    this.#isHandlingEvents = false
    this.#scheduleTick()
  }

  #handleQueuedEvents (): void {
    for (let next = this.#queue.shift(); next !== undefined; next = this.#queue.shift()) {
      const effects = this.replica.step(next, this.#clock.monotonicMs())
      for (const effect of effects) this.#executeEffect(effect)
    }
  }

  /** Stops the timer and ignores all further events. */
  stop (): void {
    this.#isStopped = true
    clearTimeout(this.#timer)
  }

  #executeEffect (effect: ReplicaEffect<Command>): void {
    switch (effect.kind) {
      case 'send': this.#handlers.send(effect); break
      case 'persist': this.#persist(effect); break
      case 'apply': this.#handlers.apply(effect); break
      case 'restore': this.#handlers.restore(effect); break
      case 'role_changed': this.#handlers.roleChanged(effect); break
      case 'proposal_rejected': this.#handlers.proposalRejected(effect); break
    }
  }

  #persist (effect: Extract<ReplicaEffect<Command>, { kind: 'persist' }>): void {
    this.#storage.persist(effect).then(
      () => { this.step({ kind: 'persisted', persistId: effect.persistId }) },
      (error: unknown) => { this.#handlers.failed(error) }
    )
  }

  #scheduleTick (): void {
    clearTimeout(this.#timer)
    if (this.#isStopped) return
    // A replica without a due time waits for a message.
    const wakeAtMs = this.replica.nextWakeAtMs()
    if (wakeAtMs === Infinity) return
    this.#timer = startTimer(wakeAtMs - this.#clock.monotonicMs(), () => { this.step({ kind: 'tick' }) })
  }
}
