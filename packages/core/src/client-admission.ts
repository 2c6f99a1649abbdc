/**
 * Decides which connections and request bodies of untrusted clients a process holds, so that clients that send
 * unfinished, oversized or pipelined requests, or that do not read their answers, exhaust neither its memory nor its
 * descriptors. Contains no I/O: connections and bodies are opaque objects of the caller.
 */

/** Servers of a process; each has descriptors of its own, so that clients cannot occupy those of the other servers. */
export type ConnectionPool = 'client' | 'control' | 'readiness' | 'metrics'

/** Limit because of which a connection, request or body is refused or dropped. */
export type ClientLimit =
  | 'connections' | 'address_connections' | 'pipelined_requests' | 'header_bytes' | 'body_bytes' | 'chunk_size'
  | 'body_budget' | 'address_bodies' | 'unread_answers' | 'receive_time' | 'idle_time'

/** Limits of one process. */
export interface ClientAdmissionLimits {
  /** Bytes of all request bodies and unread answers together. */
  readonly budgetBytes: number
  /** Largest share of the budget, and of the connections of a pool, that one address may hold. */
  readonly maxAddressPercent: number
  readonly maxConnections: Readonly<Record<ConnectionPool, number>>
  /** Requests of one connection without a complete answer. */
  readonly maxPipelinedRequests: number
  /** Bodies in progress whose chunks are very small, each of which costs processor time. */
  readonly maxFragmentedBodies: number
}

/** What the caller refuses or disconnects. */
export interface Admission<Subject> {
  /** Limit because of which the subject itself is refused; absent if it is admitted. */
  readonly refused?: ClientLimit
  /** Others that have to make room for it. */
  readonly dropped: readonly Subject[]
  /** Limit because of which the others are dropped. */
  readonly droppedFor?: ClientLimit
}

/** Limits of one body, from its server and its request. */
export interface BodyBounds {
  readonly maxBodyBytes: number
  /** Length that the request announces; absent for a chunked body. */
  readonly announcedBytes?: number
}

interface ConnectionState {
  readonly address: string
  readonly pool: ConnectionPool
  readonly openedAtMs: number
  openRequests: number
  hasServed: boolean
  unreadBytes: number
}

interface BodyState<Connection> {
  readonly connection: Connection
  readonly address: string
  readonly bounds: BodyBounds
  readonly startedAtMs: number
  receivedBytes: number
  heldBytes: number
  chunkCount: number
  isComplete: boolean
}

/** A body of more chunks than this counts as fragmented if its chunks are small on average. */
const MIN_FRAGMENTS = 2_000
/** Ordinary clients send a body in few chunks; chunks of this size cost as much time in parsing as in copying. */
const FRAGMENT_BYTES = 64
/** A connection whose body is younger than this is not dropped for the sake of a new connection. */
const MIN_DROP_AGE_MS = 1_000
const NOTHING_DROPPED: Admission<never> = { dropped: [] }

/**
 * Tracks connections and bodies and applies the limits.
 *
 * @example
 * const { refused, dropped } = admission.openConnection(socket, { address: '10.0.0.7', pool: 'client', nowMs })
 */
export class ClientAdmission<Connection extends object, Body extends object> {
  readonly #limits: ClientAdmissionLimits
  /** In the order in which they were opened. */
  readonly #connections = new Map<Connection, ConnectionState>()
  readonly #connectionCounts = new Map<string, number>()
  readonly #bodies = new Map<Body, BodyState<Connection>>()
  readonly #heldByAddress = new Map<string, number>()
  #heldBytes = 0

  constructor (limits: ClientAdmissionLimits) {
    this.#limits = limits
  }

  /** Bytes of bodies and unread answers. */
  get heldBytes (): number {
    return this.#heldBytes
  }

  /**
   * Admits a connection. Where the limit of its pool or address is reached, a connection that has never been answered
   * makes room for it: first the oldest without a request, then the one whose body has been unfinished for longest.
   */
  openConnection (
    connection: Connection, { address, pool, nowMs }: { address: string, pool: ConnectionPool, nowMs: number }
  ): Admission<Connection> {
    const limit = this.#fullLimit(address, pool)
    const victim = limit === undefined ? undefined : this.#findReplaceable(pool, limit, address, nowMs)
    if (limit !== undefined && victim === undefined) return { refused: limit, dropped: [] }
    if (victim !== undefined) this.closeConnection(victim)
    const state = { address, pool, openedAtMs: nowMs, openRequests: 0, hasServed: false, unreadBytes: 0 }
    this.#connections.set(connection, state)
    this.#count(state, 1)
    return victim === undefined ? NOTHING_DROPPED : { dropped: [victim], droppedFor: limit }
  }

  closeConnection (connection: Connection): void {
    const state = this.#connections.get(connection)
    if (state === undefined) return
    this.#connections.delete(connection)
    this.#count(state, -1)
    this.#hold(state.address, -state.unreadBytes)
  }

  hasOpenRequest (connection: Connection): boolean {
    return (this.#connections.get(connection)?.openRequests ?? 0) > 0
  }

  /** Admits a request; the caller disconnects a client that sends too many ahead of its answers. */
  beginRequest (connection: Connection): Admission<never> {
    const state = this.#connections.get(connection)
    if (state === undefined) return NOTHING_DROPPED
    if (state.openRequests >= this.#limits.maxPipelinedRequests) return { refused: 'pipelined_requests', dropped: [] }
    state.openRequests++
    return NOTHING_DROPPED
  }

  /** Called when the answer of a request has been passed to the operating system, or the connection is closed. */
  endRequest (connection: Connection, answerBytes: number): void {
    const state = this.#connections.get(connection)
    if (state === undefined) return
    state.openRequests--
    state.hasServed = true
    this.#holdAnswer(state, -answerBytes)
  }

  /** Counts an answer until `endRequest`; connections with the most unread bytes are dropped to keep the budget. */
  beginAnswer (connection: Connection, answerBytes: number): Admission<Connection> {
    const state = this.#connections.get(connection)
    if (state === undefined) return NOTHING_DROPPED
    this.#holdAnswer(state, answerBytes)
    const dropped: Connection[] = []
    while (this.#heldBytes > this.#limits.budgetBytes) {
      const victim = this.#findLeastRead(connection)
      if (victim === undefined) break
      this.closeConnection(victim)
      dropped.push(victim)
    }
    return dropped.length === 0 ? NOTHING_DROPPED : { dropped, droppedFor: 'unread_answers' }
  }

  /** Admits a body by its announced length, before any of it is read. */
  beginBody (body: Body, connection: Connection, bounds: BodyBounds, nowMs: number): Admission<Body> {
    if ((bounds.announcedBytes ?? 0) > bounds.maxBodyBytes) return { refused: 'body_bytes', dropped: [] }
    const address = this.#connections.get(connection)?.address ?? ''
    this.#bodies.set(body, {
      connection, address, bounds, startedAtMs: nowMs, receivedBytes: 0, heldBytes: 0, chunkCount: 0, isComplete: false
    })
    return NOTHING_DROPPED
  }

  /** Counts a chunk; `heldBytes` is the memory of the whole body so far. */
  receiveChunk (body: Body, chunkBytes: number, heldBytes: number, nowMs: number): Admission<Body> {
    const state = this.#bodies.get(body)
    if (state === undefined) return NOTHING_DROPPED
    state.receivedBytes += chunkBytes
    state.chunkCount++
    if (state.receivedBytes > state.bounds.maxBodyBytes) return this.#refuse(body, 'body_bytes')
    if (state.chunkCount === MIN_FRAGMENTS) {
      const fragmented = this.#refuseFragmented(body)
      if (fragmented !== undefined) return fragmented
    }
    if (heldBytes === state.heldBytes) return NOTHING_DROPPED
    this.#hold(state.address, heldBytes - state.heldBytes)
    state.heldBytes = heldBytes
    return this.#keepBudget(body, state.address, nowMs)
  }

  /** From here on the body belongs to a request that runs, and is not dropped. */
  completeBody (body: Body): void {
    const state = this.#bodies.get(body)
    if (state !== undefined) state.isComplete = true
  }

  /** Called once the request has ended or was refused. */
  endBody (body: Body): void {
    const state = this.#bodies.get(body)
    if (state === undefined) return
    this.#bodies.delete(body)
    this.#hold(state.address, -state.heldBytes)
  }

  #refuse (body: Body, refused: ClientLimit): Admission<Body> {
    this.endBody(body)
    return { refused, dropped: [] }
  }

  /** Drops unfinished bodies until the budget and the share of the address are kept, the slowest and largest first. */
  #keepBudget (body: Body, address: string, nowMs: number): Admission<Body> {
    const dropped: Body[] = []
    for (let limit = this.#exceededBudget(address); limit !== undefined; limit = this.#exceededBudget(address)) {
      const victim = this.#findSlowest(limit === 'address_bodies' ? address : undefined, nowMs)
      if (victim === undefined || victim === body) {
        this.endBody(body)
        return { refused: limit, dropped, droppedFor: limit }
      }
      this.endBody(victim)
      dropped.push(victim)
    }
    return dropped.length === 0 ? NOTHING_DROPPED : { dropped, droppedFor: 'body_budget' }
  }

  #exceededBudget (address: string): ClientLimit | undefined {
    const { budgetBytes, maxAddressPercent } = this.#limits
    if (this.#heldBytes > budgetBytes) return 'body_budget'
    const isShareExceeded = (this.#heldByAddress.get(address) ?? 0) > budgetBytes * maxAddressPercent / 100
    // A single body within the limits is served where nothing else is in progress.
    return isShareExceeded && this.#bodies.size > 1 ? 'address_bodies' : undefined
  }

  /** The unfinished body with the largest product of memory and age; the product is small for ordinary requests. */
  #findSlowest (address: string | undefined, nowMs: number): Body | undefined {
    let slowest: Body | undefined
    let highest = 0
    for (const [body, state] of this.#bodies) {
      if (state.isComplete || (address !== undefined && state.address !== address)) continue
      const cost = state.heldBytes * (nowMs - state.startedAtMs + 1)
      if (cost > highest) {
        highest = cost
        slowest = body
      }
    }
    return slowest
  }

  /** Refuses a fragmented body where too many are in progress. */
  #refuseFragmented (body: Body): Admission<Body> | undefined {
    const fragmented = [...this.#bodies].filter(([, state]) => isFragmented(state))
    if (fragmented.length <= this.#limits.maxFragmentedBodies) return undefined
    return this.#refuse(body, 'chunk_size')
  }

  #findLeastRead (newest: Connection): Connection | undefined {
    let leastRead: Connection | undefined
    let highest = 0
    for (const [connection, { unreadBytes, openRequests }] of this.#connections) {
      // An answer that has just been written to an idle connection is still being passed on.
      const isBeingWritten = connection === newest && openRequests === 1
      if (unreadBytes <= highest || isBeingWritten) continue
      highest = unreadBytes
      leastRead = connection
    }
    return leastRead
  }

  #holdAnswer (state: ConnectionState, bytes: number): void {
    state.unreadBytes += bytes
    this.#hold(state.address, bytes)
  }

  #hold (address: string, bytes: number): void {
    if (bytes === 0) return
    this.#heldBytes += bytes
    addCount(this.#heldByAddress, address, bytes)
  }

  #count ({ address, pool }: ConnectionState, change: number): void {
    addCount(this.#connectionCounts, pool, change)
    addCount(this.#connectionCounts, `${pool} ${address}`, change)
  }

  #fullLimit (address: string, pool: ConnectionPool): ClientLimit | undefined {
    const max = this.#limits.maxConnections[pool]
    if ((this.#connectionCounts.get(pool) ?? 0) >= max) return 'connections'
    const maxOfAddress = Math.max(1, Math.floor(max * this.#limits.maxAddressPercent / 100))
    return (this.#connectionCounts.get(`${pool} ${address}`) ?? 0) >= maxOfAddress ? 'address_connections' : undefined
  }

  #findReplaceable (
    pool: ConnectionPool, limit: ClientLimit, address: string, nowMs: number
  ): Connection | undefined {
    let stalled: Connection | undefined
    for (const [connection, state] of this.#connections) {
      if (state.pool !== pool || (limit === 'address_connections' && state.address !== address)) continue
      if (state.hasServed) continue
      if (state.openRequests === 0) return connection
      if (stalled === undefined && this.#isStalled(connection, nowMs)) stalled = connection
    }
    return stalled
  }

  #isStalled (connection: Connection, nowMs: number): boolean {
    const bodies = [...this.#bodies.values()].filter(body => body.connection === connection)
    return bodies.length > 0 && bodies.every(body => !body.isComplete && nowMs - body.startedAtMs >= MIN_DROP_AGE_MS)
  }
}

function isFragmented<Connection> ({ isComplete, chunkCount, receivedBytes }: BodyState<Connection>): boolean {
  return !isComplete && chunkCount >= MIN_FRAGMENTS && receivedBytes < chunkCount * FRAGMENT_BYTES
}

function addCount (counts: Map<string, number>, key: string, change: number): void {
  const count = (counts.get(key) ?? 0) + change
  if (count === 0) counts.delete(key)
  else counts.set(key, count)
}
