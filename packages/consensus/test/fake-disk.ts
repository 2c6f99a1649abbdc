import type { LogEntry, RecoveredLog, ReplicaEffect, Snapshot } from '../src/index.js'

export type PersistEffect = Extract<ReplicaEffect<string>, { kind: 'persist' }>
type Write = PersistEffect | { readonly kind: 'snapshot', readonly snapshot: Snapshot }

/** Simulated disk: writes become durable in order, one sync at a time; a crash discards the unsynced ones. */
export class FakeDisk {
  durable: RecoveredLog<string>
  #unsyncedWrites: Write[] = []

  constructor (initial: RecoveredLog<string>) {
    this.durable = initial
  }

  write (write: Write): void {
    this.#unsyncedWrites.push(write)
  }

  /** Makes the oldest write durable. */
  syncOne (): Write | undefined {
    const write = this.#unsyncedWrites.shift()
    if (write?.kind === 'persist') this.durable = applyPersist(this.durable, write)
    if (write?.kind === 'snapshot') this.durable = applySnapshot(this.durable, write.snapshot)
    return write
  }

  dropUnsyncedWrites (): void {
    this.#unsyncedWrites = []
  }
}

function applyPersist (log: RecoveredLog<string>, effect: PersistEffect): RecoveredLog<string> {
  const base = effect.snapshot === undefined ? log : { ...log, snapshot: effect.snapshot, entries: [] }
  const hardState = effect.hardState ?? log.hardState
  return { hardState, snapshot: base.snapshot, entries: overwriteEntries(base.entries, effect.entries) }
}

function overwriteEntries (
  entries: ReadonlyArray<LogEntry<string>>, added: ReadonlyArray<LogEntry<string>>
): ReadonlyArray<LogEntry<string>> {
  const first = added[0]
  return first === undefined ? entries : [...entries.filter(entry => entry.index < first.index), ...added]
}

function applySnapshot (log: RecoveredLog<string>, snapshot: Snapshot): RecoveredLog<string> {
  if (snapshot.lastIndex <= (log.snapshot?.lastIndex ?? 0)) return log
  return { ...log, snapshot, entries: log.entries.filter(entry => entry.index > snapshot.lastIndex) }
}
