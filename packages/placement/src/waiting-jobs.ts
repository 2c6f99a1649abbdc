/** Waiting jobs, grouped by what decides whether they fit. */
import type { JobSpec } from '@comfreygrade/core'
import type { JobRecord } from './jobs.js'

/** When capacity was freed last, in the counting of {@link WaitingJobs}. */
interface CapacityChange { at: number }

/** Groups of one organisation and priority; the job that was submitted first goes first. */
export class WaitingQueue {
  readonly groups = new Set<WaitingGroup>()

  /** The open group whose first job is the oldest; costs one step for each group. */
  firstOpen (): WaitingGroup | undefined {
    let oldest: WaitingGroup | undefined
    let oldestSequence = Infinity
    for (const group of this.groups) {
      const { sequence } = group.first!
      if (sequence >= oldestSequence || !group.isOpen) continue
      oldest = group
      oldestSequence = sequence
    }
    return oldest
  }
}

/** Jobs that fit or do not fit together; a linked list, so that cancelling costs the same wherever a job stands. */
export class WaitingGroup {
  readonly key: string
  readonly queue: WaitingQueue
  readonly #modelChange: CapacityChange
  readonly #organisationChange: CapacityChange
  #first: JobRecord | undefined
  #last: JobRecord | undefined
  #closedAt = -1

  constructor (
    key: string, queue: WaitingQueue, modelChange: CapacityChange, organisationChange: CapacityChange
  ) {
    this.key = key
    this.queue = queue
    this.#modelChange = modelChange
    this.#organisationChange = organisationChange
  }

  /** The job that is tried next. */
  get first (): JobRecord | undefined {
    return this.#first
  }

  /** Whether the first job may fit: it was not tried since capacity for it was freed. */
  get isOpen (): boolean {
    return this.#closedAt < this.#modelChange.at || this.#closedAt < this.#organisationChange.at
  }

  /** Notes that the first job did not fit, until capacity is freed after `time`. */
  close (time: number): void {
    this.#closedAt = time
  }

  /** Lets the first job be tried again. */
  open (): void {
    this.#closedAt = -1
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
  readonly #queues = new Map<string, WaitingQueue>()
  readonly #changes = new Map<string, CapacityChange>()
  #time = 0
  #size = 0

  /** Number of waiting jobs. */
  get size (): number {
    return this.#size
  }

  /** Queues by organisation and priority that have jobs. */
  get queues (): Iterable<WaitingQueue> {
    return this.#queues.values()
  }

  /** Adds a job and opens its group where the job became its first. */
  add (job: JobRecord): void {
    const key = groupKey(job)
    const group = this.#groups.get(key) ?? this.#createGroup(key, job.spec)
    group.insert(job)
    if (group.first === job) group.open()
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
    group.queue.groups.delete(group)
    if (group.queue.groups.size === 0) this.#queues.delete(queueKey(job.spec))
  }

  /** Closes a group whose first job did not fit. */
  close (group: WaitingGroup): void {
    group.close(this.#time)
  }

  /** Opens the groups of the given accelerator models and organisations. */
  reopen (models: Iterable<string>, organisationIds: Iterable<string>): void {
    this.#time += 1
    for (const model of models) this.#changeOf(`model ${model}`).at = this.#time
    for (const organisationId of organisationIds) this.#changeOf(`organisation ${organisationId}`).at = this.#time
  }

  #createGroup (key: string, spec: JobSpec): WaitingGroup {
    const queue = this.#queueOf(spec)
    const modelChange = this.#changeOf(`model ${spec.acceleratorModel}`)
    const group = new WaitingGroup(key, queue, modelChange, this.#changeOf(`organisation ${spec.organisationId}`))
    this.#groups.set(key, group)
    queue.groups.add(group)
    return group
  }

  #queueOf (spec: JobSpec): WaitingQueue {
    const key = queueKey(spec)
    let queue = this.#queues.get(key)
    if (queue === undefined) {
      queue = new WaitingQueue()
      this.#queues.set(key, queue)
    }
    return queue
  }

  #changeOf (name: string): CapacityChange {
    let change = this.#changes.get(name)
    if (change === undefined) {
      change = { at: 0 }
      this.#changes.set(name, change)
    }
    return change
  }
}

function queueKey (spec: JobSpec): string {
  return `${spec.priority}|${spec.organisationId}`
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
