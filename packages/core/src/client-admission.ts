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

/** What has to make room for an answer. */
export interface AnswerAdmission<Connection, Body> extends Admission<Connection> {
  readonly droppedBodies: readonly Body[]
}

/** Limits of one body, from its server and its request. */
export interface BodyBounds {
  readonly maxBodyBytes: number
  /** Length that the request announces; absent for a chunked body. */
  readonly announcedBytes?: number
}

/** What one address holds. */
interface AddressState {
  readonly connectionCounts: Record<ConnectionPool, number>
  heldBytes: number
}

interface ConnectionState {
  readonly addressName: string
  readonly address: AddressState
  readonly pool: ConnectionPool
  openRequests: number
  hasServed: boolean
  /** Time of the latest answer. */
  answeredAtMs: number
  unreadBytes: number
  unfinishedBodies: number
  lastBodyAtMs: number
}

/** A body that is admitted, until its request ends. */
export interface AdmittedBody<Body> {
  readonly body: Body
  readonly connection: ConnectionState
  readonly bounds: BodyBounds
  readonly startedAtMs: number
  receivedBytes: number
  heldBytes: number
  chunkCount: number
  isFinished: boolean
}

/** Each time a body has received this many more chunks, it counts as fragmented if they are small on average. */
const MIN_FRAGMENTS = 2_000
/** Ordinary clients send a body in few chunks; chunks of this size cost as much time in parsing as in copying. */
const FRAGMENT_BYTES = 64
/** A connection whose body is younger than this is not dropped for the sake of a new connection. */
const MIN_DROP_AGE_MS = 1_000
/** Longer than the interval of heartbeats and of the checks of ordinary clients, whose connections are in use. */
const MIN_IDLE_MS = 5_000
const NOTHING_DROPPED: Admission<never> = { dropped: [] }

/**
 * Tracks connections and bodies and applies the limits.
 *
 * @example
 * const { refused, dropped } = admission.openConnection(socket, { address: '10.0.0.7', pool: 'client', nowMs })
 */
export class ClientAdmission<Connection extends object, Body extends object> {
  readonly #limits: ClientAdmissionLimits
  /** Those without an answer in the order of their opening, the others in the order of their latest answers. */
  readonly #connections = new Map<Connection, ConnectionState>()
  readonly #addresses = new Map<string, AddressState>()
  readonly #connectionCounts = emptyCounts()
  /** Bodies that hold memory. */
  readonly #bodies = new Set<AdmittedBody<Body>>()
  #heldBytes = 0

  constructor (limits: ClientAdmissionLimits) {
    this.#limits = limits
  }

  /** Bytes of bodies and unread answers. */
  get heldBytes (): number {
    return this.#heldBytes
  }

  /**
   * Admits a connection. Where the limit of its pool or address is reached, another one makes room for it: first the
   * oldest that has never been answered and has no request, then one whose body has stalled, then the one that has been
   * idle for longest since its latest answer, since workers keep connections to control nodes that no longer lead.
   */
  openConnection (
    connection: Connection, { address, pool, nowMs }: { address: string, pool: ConnectionPool, nowMs: number }
  ): Admission<Connection> {
    const limit = this.#fullLimit(address, pool)
    const victim = limit === undefined ? undefined : this.#findReplaceable(pool, limit, address, nowMs)
    if (limit !== undefined && victim === undefined) return { refused: limit, dropped: [] }
    if (victim !== undefined) this.closeConnection(victim)
    this.#addConnection(connection, address, pool)
    return victim === undefined ? NOTHING_DROPPED : { dropped: [victim], droppedFor: limit }
  }

  closeConnection (connection: Connection): void {
    const state = this.#connections.get(connection)
    if (state === undefined) return
    this.#connections.delete(connection)
    this.#connectionCounts[state.pool]--
    this.#hold(state.address, -state.unreadBytes)
    const counts = state.address.connectionCounts
    counts[state.pool]--
    if (Object.values(counts).every(count => count === 0)) this.#addresses.delete(state.addressName)
  }

  hasOpenRequest (connection: Connection): boolean {
    return (this.#connections.get(connection)?.openRequests ?? 0) > 0
  }

  isReceivingBody (connection: Connection): boolean {
    return (this.#connections.get(connection)?.unfinishedBodies ?? 0) > 0
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
  endRequest (connection: Connection, answerBytes: number, nowMs = 0): void {
    const state = this.#connections.get(connection)
    if (state === undefined) return
    state.openRequests--
    state.hasServed = true
    state.answeredAtMs = nowMs
    // Keeps the connections that have been answered in the order of their latest answers.
    this.#connections.delete(connection)
    this.#connections.set(connection, state)
    this.#holdAnswer(state, -answerBytes)
  }

  /**
   * Counts an answer until `endRequest`. To keep the budget, it drops the slowest and largest unfinished body or the
   * connection with the most unread bytes, whichever holds more.
   */
  beginAnswer (connection: Connection, answerBytes: number, nowMs = 0): AnswerAdmission<Connection, Body> {
    const state = this.#connections.get(connection)
    if (state === undefined) return { dropped: [], droppedBodies: [] }
    this.#holdAnswer(state, answerBytes)
    const dropped: Connection[] = []
    const droppedBodies: Body[] = []
    while (this.#heldBytes > this.#limits.budgetBytes) {
      const body = this.#findSlowest(undefined, nowMs)
      const victim = this.#findLeastRead(connection)
      const unreadBytes = victim === undefined ? 0 : this.#connections.get(victim)?.unreadBytes ?? 0
      if (body !== undefined && body.heldBytes > unreadBytes) {
        this.endBody(body)
        droppedBodies.push(body.body)
      } else if (victim !== undefined) {
        this.closeConnection(victim)
        dropped.push(victim)
      } else break
    }
    return dropped.length === 0 ? { dropped, droppedBodies } : { dropped, droppedBodies, droppedFor: 'unread_answers' }
  }

  /** Admits a body by its announced length, before any of it is read; returns the limit that refuses it. */
  beginBody (
    body: Body, connection: Connection, bounds: BodyBounds, nowMs: number
  ): AdmittedBody<Body> | ClientLimit {
    if ((bounds.announcedBytes ?? 0) > bounds.maxBodyBytes) return 'body_bytes'
    const state = this.#connections.get(connection) ?? createConnectionState('', createAddressState(), 'client')
    state.unfinishedBodies++
    state.lastBodyAtMs = nowMs
    return {
      body,
      connection: state,
      bounds,
      startedAtMs: nowMs,
      receivedBytes: 0,
      heldBytes: 0,
      chunkCount: 0,
      isFinished: false
    }
  }

  /** Counts a chunk; `heldBytes` is the memory of the whole body so far. */
  receiveChunk (admitted: AdmittedBody<Body>, chunkBytes: number, heldBytes: number, nowMs: number): Admission<Body> {
    admitted.receivedBytes += chunkBytes
    admitted.chunkCount++
    if (admitted.receivedBytes > admitted.bounds.maxBodyBytes) return this.#refuse(admitted, 'body_bytes')
    if (admitted.chunkCount % MIN_FRAGMENTS === 0 && isFragmented(admitted) && this.#hasTooManyFragmented()) {
      return this.#refuse(admitted, 'chunk_size')
    }
    if (heldBytes === admitted.heldBytes) return NOTHING_DROPPED
    this.#bodies.add(admitted)
    this.#hold(admitted.connection.address, heldBytes - admitted.heldBytes)
    admitted.heldBytes = heldBytes
    return this.#keepBudget(admitted, nowMs)
  }

  /** From here on the body belongs to a request that runs, and is not dropped. */
  completeBody (admitted: AdmittedBody<Body>): void {
    if (admitted.isFinished) return
    admitted.isFinished = true
    admitted.connection.unfinishedBodies--
  }

  /** Called once the request has ended or was refused; further calls change nothing. */
  endBody (admitted: AdmittedBody<Body>): void {
    this.completeBody(admitted)
    this.#bodies.delete(admitted)
    this.#hold(admitted.connection.address, -admitted.heldBytes)
    admitted.heldBytes = 0
  }

  #addConnection (connection: Connection, addressName: string, pool: ConnectionPool): void {
    const address = this.#addresses.get(addressName) ?? createAddressState()
    this.#addresses.set(addressName, address)
    address.connectionCounts[pool]++
    this.#connectionCounts[pool]++
    this.#connections.set(connection, createConnectionState(addressName, address, pool))
  }

  #refuse (admitted: AdmittedBody<Body>, refused: ClientLimit): Admission<Body> {
    this.endBody(admitted)
    return { refused, dropped: [] }
  }

  /** Drops unfinished bodies until the budget and the share of the address are kept, the slowest and largest first. */
  #keepBudget (admitted: AdmittedBody<Body>, nowMs: number): Admission<Body> {
    const { address } = admitted.connection
    const dropped: Body[] = []
    let droppedFor: ClientLimit | undefined
    for (let limit = this.#exceededBudget(address); limit !== undefined; limit = this.#exceededBudget(address)) {
      const victim = this.#findSlowest(limit === 'address_bodies' ? address : undefined, nowMs) ?? admitted
      this.endBody(victim)
      if (victim === admitted) return { refused: limit, dropped, droppedFor }
      dropped.push(victim.body)
      droppedFor = limit
    }
    return dropped.length === 0 ? NOTHING_DROPPED : { dropped, droppedFor }
  }

  #exceededBudget (address: AddressState): ClientLimit | undefined {
    const { budgetBytes, maxAddressPercent } = this.#limits
    if (this.#heldBytes > budgetBytes) return 'body_budget'
    const isShareExceeded = address.heldBytes > budgetBytes * maxAddressPercent / 100
    // A single body within the limits is served where nothing else is in progress.
    return isShareExceeded && this.#bodies.size > 1 ? 'address_bodies' : undefined
  }

  /** The unfinished body with the largest product of memory and age; the product is small for ordinary requests. */
  #findSlowest (address: AddressState | undefined, nowMs: number): AdmittedBody<Body> | undefined {
    let slowest: AdmittedBody<Body> | undefined
    let highest = 0
    for (const admitted of this.#bodies) {
      if (admitted.isFinished || (address !== undefined && admitted.connection.address !== address)) continue
      const cost = admitted.heldBytes * (nowMs - admitted.startedAtMs + 1)
      if (cost <= highest) continue
      highest = cost
      slowest = admitted
    }
    return slowest
  }

  #hasTooManyFragmented (): boolean {
    return [...this.#bodies].filter(isFragmented).length > this.#limits.maxFragmentedBodies
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

  #hold (address: AddressState, bytes: number): void {
    this.#heldBytes += bytes
    address.heldBytes += bytes
  }

  #fullLimit (address: string, pool: ConnectionPool): ClientLimit | undefined {
    const max = this.#limits.maxConnections[pool]
    if (this.#connectionCounts[pool] >= max) return 'connections'
    const maxOfAddress = Math.max(1, Math.floor(max * this.#limits.maxAddressPercent / 100))
    const count = this.#addresses.get(address)?.connectionCounts[pool] ?? 0
    return count >= maxOfAddress ? 'address_connections' : undefined
  }

  #findReplaceable (
    pool: ConnectionPool, limit: ClientLimit, address: string, nowMs: number
  ): Connection | undefined {
    let stalled: Connection | undefined
    let idle: Connection | undefined
    for (const [connection, state] of this.#connections) {
      if (state.pool !== pool) continue
      if (limit === 'address_connections' && state.addressName !== address) continue
      if (state.openRequests === 0 && !state.hasServed) return connection
      if (isIdle(state, nowMs)) idle ??= connection
      else if (!state.hasServed && isStalled(state, nowMs)) stalled ??= connection
    }
    return stalled ?? idle
  }
}

function isIdle ({ openRequests, hasServed, answeredAtMs }: ConnectionState, nowMs: number): boolean {
  return openRequests === 0 && hasServed && nowMs - answeredAtMs >= MIN_IDLE_MS
}

/** Whether a connection has requests, none of which has been received completely for some time. */
function isStalled ({ openRequests, unfinishedBodies, lastBodyAtMs }: ConnectionState, nowMs: number): boolean {
  return openRequests > 0 && unfinishedBodies >= openRequests && nowMs - lastBodyAtMs >= MIN_DROP_AGE_MS
}

function isFragmented<Body> ({ isFinished, chunkCount, receivedBytes }: AdmittedBody<Body>): boolean {
  return !isFinished && chunkCount >= MIN_FRAGMENTS && receivedBytes < chunkCount * FRAGMENT_BYTES
}

function emptyCounts (): Record<ConnectionPool, number> {
  return { client: 0, control: 0, readiness: 0, metrics: 0 }
}

function createAddressState (): AddressState {
  return { connectionCounts: emptyCounts(), heldBytes: 0 }
}

function createConnectionState (addressName: string, address: AddressState, pool: ConnectionPool): ConnectionState {
  return {
    addressName,
    address,
    pool,
    openRequests: 0,
    hasServed: false,
    answeredAtMs: 0,
    unreadBytes: 0,
    unfinishedBodies: 0,
    lastBodyAtMs: 0
  }
}
