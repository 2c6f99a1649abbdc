/** Ways of a request to the leader in the protocol simulation. */
import type { LeaderEvent } from '@comfreygrade/batch'
import type { ProtocolDraws } from './protocol-draws.js'
import type { Answer, ProtocolNode } from './protocol-node.js'
import type { ProtocolSchedule } from './protocol-schedule.js'

/** A request on its way to the leader. */
export interface RoutedRequest {
  /** Called where a leader handles the request; a request that is passed on again may reach two leaders. */
  readonly createEvent: (requestId: string) => LeaderEvent
  /** Called when a leader answers, whether or not the answer arrives. */
  readonly onAnswered: (answer: Answer) => void
  /** Called at most once, when the answer or the refusal of the entry node arrives there. */
  readonly reply: (answer: Answer | 'refused') => void
  /** Node that the request is sent to; undefined for any. */
  readonly entry?: ProtocolNode
}

/** Options of {@link RequestRoutes}. */
export interface RequestRoutesOptions {
  readonly schedule: ProtocolSchedule
  readonly random: ProtocolDraws
  readonly nodes: readonly ProtocolNode[]
  readonly leader: () => ProtocolNode
  /** Whether no message is delayed for long any more. */
  readonly isCalm: () => boolean
}

/** Brings requests to the leader. */
export abstract class RequestRoutes {
  protected readonly options: RequestRoutesOptions

  constructor (options: RequestRoutesOptions) {
    this.options = options
  }

  abstract send (request: RoutedRequest): void

  /** A node has begun to lead. */
  abstract startTerm (leader: ProtocolNode): void

  /** Time on the way from or to a worker or a client. */
  delayMs (): number {
    const { random } = this.options
    const draw = random.nextFloat()
    if (draw < 0.9 || this.options.isCalm()) return random.nextInt(1, 25)
    return draw < 0.97 ? random.nextInt(25, 900) : random.nextInt(900, 8_000)
  }
}

/** Most requests reach the leader, and others go on to it. */
export class DirectRoutes extends RequestRoutes {
  override send ({ createEvent, onAnswered, reply }: RoutedRequest): void {
    const { random, leader, nodes, schedule } = this.options
    const node = random.nextFloat() < 0.9 ? leader() : this.options.random.pick(nodes)
    const answer = (result: Answer): void => { onAnswered(result); reply(result) }
    schedule.deliver(node, () => {
      if (node.handle(createEvent, answer)) return
      const current = leader()
      if (current === node) return
      schedule.after(this.delayMs(), () => { schedule.deliver(current, () => { current.handle(createEvent, answer) }) })
    })
  }

  override startTerm (): void {}
}

/** Time after which a node refuses a request that no leader has answered. */
const FORWARD_TIMEOUT_MS = 850
/** Share of the nodes that learn of a new leader only later, and the longest time until then. */
const LATE_NEWS_SHARE = 0.2
const MAX_LEARN_DELAY_MS = 2_000

/** A request that a node passes on. */
interface Forward {
  readonly request: RoutedRequest
  readonly entry: ProtocolNode
  /** Nodes that are still to be tried in this round. */
  candidates: ProtocolNode[]
  /** Node that may answer. */
  awaited: ProtocolNode | undefined
  isSettled: boolean
  /** Increases with each attempt, so that a late `not_leader` of an earlier one does not count. */
  attempt: number
}

/**
 * Requests go to any node, which passes them on to the leader that it believes in and then to the others. It sends a
 * request again where it learns of another leader meanwhile, and refuses it where none has answered in time.
 */
export class FollowerRoutes extends RequestRoutes {
  readonly #believedLeaders = new Map<ProtocolNode, ProtocolNode>()
  readonly #forwards = new Set<Forward>()
  #termCount = 0

  override send (request: RoutedRequest): void {
    const { schedule, nodes } = this.options
    const entry = request.entry ?? this.options.random.pick(nodes)
    if (!entry.isUp) return schedule.after(this.#linkDelayMs(), () => { request.reply('refused') })
    schedule.deliver(entry, () => { this.#begin(entry, request) })
  }

  /** The others learn of the leader at once or, where the message is lost, later. */
  override startTerm (leader: ProtocolNode): void {
    const { random, nodes, schedule } = this.options
    const term = ++this.#termCount
    this.#learn(leader, leader)
    for (const node of nodes.filter(other => other !== leader)) {
      const isLate = random.nextFloat() < LATE_NEWS_SHARE
      const delayMs = isLate ? random.nextInt(50, MAX_LEARN_DELAY_MS) : this.#linkDelayMs()
      schedule.after(delayMs, () => { if (term === this.#termCount) this.#learn(node, leader) })
    }
  }

  #learn (node: ProtocolNode, leader: ProtocolNode): void {
    this.#believedLeaders.set(node, leader)
    if (node !== leader) node.stepDown()
    for (const forward of this.#forwards) {
      // What the node itself handles is not sent again.
      if (forward.entry === node && forward.awaited !== leader && forward.awaited !== node) this.#beginRound(forward)
    }
  }

  #begin (entry: ProtocolNode, request: RoutedRequest): void {
    const forward: Forward = { request, entry, candidates: [], awaited: undefined, isSettled: false, attempt: 0 }
    this.#forwards.add(forward)
    this.options.schedule.after(FORWARD_TIMEOUT_MS, () => { this.#settle(forward, 'refused') })
    this.#beginRound(forward)
  }

  #beginRound (forward: Forward): void {
    const leader = this.#believedLeaders.get(forward.entry)
    const others = this.options.nodes.filter(node => node !== leader && node !== forward.entry)
    forward.candidates = [...(leader === undefined ? [] : [leader]), ...others].filter(node => node.isUp)
    this.#tryNext(forward)
  }

  #tryNext (forward: Forward): void {
    const node = forward.candidates.shift()
    forward.awaited = node
    const attempt = ++forward.attempt
    if (node === undefined) return this.#settle(forward, 'refused')
    if (node === forward.entry) return this.#attempt(forward, node, attempt)
    if (this.#isCut(forward.entry, node)) return
    this.options.schedule.after(this.#linkDelayMs(), () => {
      this.options.schedule.deliver(node, () => { this.#attempt(forward, node, attempt) })
    })
  }

  /** The node may handle a request that its entry node no longer awaits an answer to. */
  #attempt (forward: Forward, node: ProtocolNode, attempt: number): void {
    const { createEvent, onAnswered } = forward.request
    const isHandled = node.isUp && node.handle(createEvent, answer => {
      onAnswered(answer)
      this.#return(forward, node, () => { if (forward.attempt === attempt) this.#settle(forward, answer) })
    })
    if (!isHandled) this.#return(forward, node, () => { if (forward.attempt === attempt) this.#tryNext(forward) })
  }

  #return (forward: Forward, node: ProtocolNode, run: () => void): void {
    if (node === forward.entry) return run()
    if (!this.#isCut(forward.entry, node)) this.options.schedule.after(this.#linkDelayMs(), run)
  }

  #settle (forward: Forward, answer: Answer | 'refused'): void {
    if (forward.isSettled) return
    forward.isSettled = true
    forward.attempt++
    this.#forwards.delete(forward)
    if (forward.entry.isUp) forward.request.reply(answer)
  }

  #isCut (a: ProtocolNode, b: ProtocolNode): boolean {
    return a.isCutOff || b.isCutOff
  }

  #linkDelayMs (): number {
    const { random } = this.options
    return random.nextFloat() < 0.95 || this.options.isCalm() ? random.nextInt(1, 10) : random.nextInt(10, 600)
  }
}
