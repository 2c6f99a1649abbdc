/** Waiting jobs, grouped by the properties that determine whether they fit. */
import type { JobSpec } from '@comfreygrade/core'
import type { JobRecord } from './job-record.js'

/** Epoch (number of calls of {@link WaitingJobs.reopen}) in which capacity of a model or quota was last freed. */
interface LastFreed { epoch: number }

/** Groups of one organisation and priority; the earliest submitted job comes first. */
export class WaitingQueue {
  readonly groups = new Set<WaitingGroup>()

  /** The open group with the earliest submitted first job, found in time linear in the number of groups. */
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

/**
 * Jobs that are expected to either all fit or all not fit, as a linked list, so that a job is removed in constant time.
 * This is an approximation: their run times differ by up to a factor of two, so a reservation may delay only some.
 */
export class WaitingGroup {
  readonly key: string
  readonly queue: WaitingQueue
  readonly #modelFreed: LastFreed
  readonly #organisationFreed: LastFreed
  #first: JobRecord | undefined
  #last: JobRecord | undefined
  #closedEpoch = -1

  constructor (
    key: string, queue: WaitingQueue, modelFreed: LastFreed, organisationFreed: LastFreed
  ) {
    this.key = key
    this.queue = queue
    this.#modelFreed = modelFreed
    this.#organisationFreed = organisationFreed
  }

  /** The job that is tried next. */
  get first (): JobRecord | undefined {
    return this.#first
  }

  /** Whether the first job may fit: it has not been tried since capacity or quota for it was freed. */
  get isOpen (): boolean {
    return this.#closedEpoch < this.#modelFreed.epoch || this.#closedEpoch < this.#organisationFreed.epoch
  }

  /** Closes the group because its first job did not fit, until capacity or quota is freed after `epoch`. */
  close (epoch: number): void {
    this.#closedEpoch = epoch
  }

  /** Allows the first job to be tried again. */
  open (): void {
    this.#closedEpoch = -1
  }

  /** Inserts a job in order of submission; constant time at either end. */
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

/** All waiting jobs. A group is closed when its first job cannot be placed, until capacity or quota is freed. */
export class WaitingJobs {
  readonly #groups = new Map<string, WaitingGroup>()
  readonly #queues = new Map<string, WaitingQueue>()
  readonly #lastFreed = new Map<string, LastFreed>()
  #epoch = 0
  #size = 0

  /** Number of waiting jobs. */
  get size (): number {
    return this.#size
  }

  /** Non-empty queues, one for each organisation and priority. */
  get queues (): Iterable<WaitingQueue> {
    return this.#queues.values()
  }

  /** Adds a job, and opens its group if the job is now its first. */
  add (job: JobRecord): void {
    const key = groupKey(job)
    const group = this.#groups.get(key) ?? this.#createGroup(key, job.spec)
    group.insert(job)
    if (group.first === job) group.open()
    this.#size += 1
  }

  /** Removes a job; does nothing if it is not waiting. */
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
    group.close(this.#epoch)
  }

  /** Reopens the groups of accelerator models with freed capacity and of organisations with freed quota. */
  reopen (models: Iterable<string>, organisationIds: Iterable<string>): void {
    this.#epoch += 1
    for (const model of models) this.#lastFreedOf(`model ${model}`).epoch = this.#epoch
    for (const organisationId of organisationIds) this.#lastFreedOf(`organisation ${organisationId}`).epoch = this.#epoch
  }

  #createGroup (key: string, spec: JobSpec): WaitingGroup {
    const queue = this.#queueOf(spec)
    const modelFreed = this.#lastFreedOf(`model ${spec.acceleratorModel}`)
    const group = new WaitingGroup(key, queue, modelFreed, this.#lastFreedOf(`organisation ${spec.organisationId}`))
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

  #lastFreedOf (name: string): LastFreed {
    let lastFreed = this.#lastFreed.get(name)
    if (lastFreed === undefined) {
      lastFreed = { epoch: 0 }
      this.#lastFreed.set(name, lastFreed)
    }
    return lastFreed
  }
}

function queueKey (spec: JobSpec): string {
  return `${spec.priority}|${spec.organisationId}`
}

/**
 * Jobs with the same requirements and a similar run time share a group. Declared run time and job class are in the key
 * because the estimated run time decides whether a job may be backfilled. A job with failed tasks gets a group of its
 * own, as it excludes the workers on which these failed.
 */
function groupKey (job: JobRecord): string {
  const { spec, shape } = job
  const runTimeBucket = Math.floor(Math.log2(Math.max(1, spec.declaredRunMs)))
  const ownGroupId = job.failedWorkerIds.size > 0 ? job.spec.jobId : ''
  return `${spec.priority}|${spec.organisationId}|${shape.key}|${spec.preemption === 'none'}|` +
    `${spec.jobClass}|${runTimeBucket}|${ownGroupId}`
}

/**
 * Binary min-heap.
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

  /** Removes and returns the smallest item; undefined if the heap is empty. */
  pop (): T | undefined {
    const least = this.#items[0]
    const last = this.#items.pop()
    if (this.#items.length > 0) this.#siftDown(last!)
    return least
  }

  #siftDown (item: T): void {
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
