/** Waiting jobs, grouped by what decides whether they fit. */
import type { JobPriority, JobSpec } from '@comfreygrade/core'
import type { JobRecord } from './jobs.js'

/** Jobs that fit or do not fit together; a linked list, so that cancelling costs the same wherever a job stands. */
export class WaitingGroup {
  readonly key: string
  readonly priority: JobPriority
  readonly organisationId: string
  readonly acceleratorModel: string
  #first: JobRecord | undefined
  #last: JobRecord | undefined

  constructor (key: string, spec: JobSpec) {
    this.key = key
    this.priority = spec.priority
    this.organisationId = spec.organisationId
    this.acceleratorModel = spec.acceleratorModel
  }

  /** The job that is tried next. */
  get first (): JobRecord | undefined {
    return this.#first
  }

  /** Inserts a job by its order of submission; a new job, or one older than all, costs one step. */
  insert (job: JobRecord): void {
    const isOldest = this.#first !== undefined && job.sequence < this.#first.sequence
    let previous = isOldest ? undefined : this.#last
    while (previous !== undefined && previous.sequence > job.sequence) previous = previous.previous
    job.group = this
    job.previous = previous
    job.next = previous === undefined ? this.#first : previous.next
    if (job.next === undefined) this.#last = job
    else job.next.previous = job
    if (previous === undefined) this.#first = job
    else previous.next = job
  }

  /** Takes a job out. */
  remove (job: JobRecord): void {
    if (job.previous === undefined) this.#first = job.next
    else job.previous.next = job.next
    if (job.next === undefined) this.#last = job.previous
    else job.next.previous = job.previous
    job.group = undefined
    job.previous = undefined
    job.next = undefined
  }
}

/** All waiting jobs. A group is open while its first job may fit; it is closed until capacity is freed. */
export class WaitingJobs {
  readonly #groups = new Map<string, WaitingGroup>()
  readonly #open = new Set<WaitingGroup>()
  #size = 0

  /** Number of waiting jobs. */
  get size (): number {
    return this.#size
  }

  /** Groups with jobs that may fit. */
  get open (): Iterable<WaitingGroup> {
    return this.#open
  }

  /** All groups with jobs. */
  get groups (): Iterable<WaitingGroup> {
    return this.#groups.values()
  }

  /** Adds a job and opens its group where it is new or the job became its first. */
  add (job: JobRecord): void {
    const key = groupKey(job)
    let group = this.#groups.get(key)
    if (group === undefined) {
      group = new WaitingGroup(key, job.spec)
      this.#groups.set(key, group)
    }
    group.insert(job)
    if (group.first === job) this.#open.add(group)
    this.#size += 1
  }

  /** Takes a job out; does nothing for a job that does not wait. */
  remove (job: JobRecord): void {
    const group = job.group
    if (group === undefined) return
    group.remove(job)
    this.#size -= 1
    if (group.first !== undefined) return
    this.#groups.delete(group.key)
    this.#open.delete(group)
  }

  /** Closes a group whose first job did not fit. */
  close (group: WaitingGroup): void {
    this.#open.delete(group)
  }

  /** Opens the groups of the given accelerator models and organisations. */
  reopen (models: ReadonlySet<string>, organisationIds: ReadonlySet<string>): void {
    for (const group of this.#groups.values()) {
      if (models.has(group.acceleratorModel) || organisationIds.has(group.organisationId)) this.#open.add(group)
    }
  }
}

function groupKey (job: JobRecord): string {
  const { spec, shape } = job
  const runBucket = Math.floor(Math.log2(Math.max(1, spec.declaredRunMs)))
  const failed = job.failedWorkerIds.size > 0 ? job.spec.jobId : ''
  return `${spec.priority}|${spec.organisationId}|${shape.key}|${spec.preemption === 'none'}|` +
    `${spec.jobClass}|${runBucket}|${failed}`
}

/**
 * Binary heap.
 *
 * @example
 * const heap = new Heap<number>((left, right) => left - right)
 */
export class Heap<T> {
  readonly #compare: (left: T, right: T) => number
  readonly #items: T[] = []

  constructor (compare: (left: T, right: T) => number) {
    this.#compare = compare
  }

  /** Number of items. */
  get size (): number {
    return this.#items.length
  }

  /** Adds an item. */
  push (item: T): void {
    let index = this.#items.push(item) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (this.#compare(this.#items[parent]!, item) <= 0) break
      this.#items[index] = this.#items[parent]!
      index = parent
    }
    this.#items[index] = item
  }

  /** Removes and gives the least item. */
  pop (): T | undefined {
    const least = this.#items[0]
    const last = this.#items.pop()
    if (this.#items.length > 0) this.#sink(last!)
    return least
  }

  #sink (item: T): void {
    let index = 0
    for (;;) {
      let child = index * 2 + 1
      if (child >= this.#items.length) break
      if (child + 1 < this.#items.length && this.#compare(this.#items[child + 1]!, this.#items[child]!) < 0) child += 1
      if (this.#compare(item, this.#items[child]!) <= 0) break
      this.#items[index] = this.#items[child]!
      index = child
    }
    this.#items[index] = item
  }
}
