/** Configuration of queues, services and organisations: one document, replaced as a whole by a higher version. */
import { fail, succeed, type Result } from '@comfreygrade/core'

/**
 * Advice service of a queue, which grants the tickets that starts need. A call takes `decideMs` and `perWorkerMs` for
 * each worker that it names.
 */
export interface AdvicePolicy {
  readonly decideMs: number
  readonly perWorkerMs: number
  /** How long a ticket is valid after it was granted. */
  readonly ticketValidMs: number
}

/** A queue of jobs, selected by the host and the longest path prefix of a request. */
export interface QueueConfiguration {
  readonly name: string
  readonly host: string
  readonly pathPrefix: string
  readonly service: string
  /** Accepted and kept; the scheduler does not use it. */
  readonly timeoutMs: number
  /** Fixed part of the completion objective, added to the part that `slackFactor` gives. */
  readonly targetLatencyMs: number
  /**
   * Within a lateness class of the scheduling order, lower numbers go first. Only priority 0 is urgent: guarantees
   * cover its jobs, and runs of higher numbers are preempted for them. The range of the numbers is not checked here.
   */
  readonly priority: number
  readonly maxAttempts: number
  /** Part of the completion objective that is a multiple of the job's critical path. */
  readonly slackFactor: number
  /** Requests need no API key. */
  readonly isAnonymous: boolean
  readonly advice?: AdvicePolicy
  /** Regions in which the queue's tasks may run; absent or empty for all. */
  readonly permittedRegions?: readonly string[]
}

/** A service is a pool of workers; each queue uses one. */
export interface ServiceConfiguration {
  readonly name: string
  /** The pool's VMs are switched off and cause no cost. Accepted and kept; the scheduler does not use it. */
  readonly isStandby: boolean
}

/** An organisation with its API keys and its guarantee. */
export interface OrganisationConfiguration {
  readonly name: string
  readonly apiKeys: readonly string[]
  /** Accelerators that the organisation's jobs of priority 0 get at any time. */
  readonly guaranteedAccelerators: number
  /** Regions in which the organisation's tasks may run; absent or empty for all. */
  readonly permittedRegions?: readonly string[]
}

/** Limits of the requests of clients at entry nodes; those that are absent have the defaults of the process. */
export interface ClientRequestLimits {
  readonly maxHeaderBytes?: number
  readonly maxBodyBytes?: number
  readonly headerTimeoutMs?: number
  readonly idleTimeoutMs?: number
}

/** A complete configuration. */
export interface QueueDocument {
  readonly version: number
  readonly queues: readonly QueueConfiguration[]
  readonly services: readonly ServiceConfiguration[]
  readonly organisations: readonly OrganisationConfiguration[]
  readonly clientLimits?: ClientRequestLimits
  /** The document as the operator sent it, for reading it back. */
  readonly source: string
}

/**
 * Checks that a document is consistent in itself; the failure names the offending entry.
 *
 * @example
 * validateDocument(document).ok
 */
export function validateDocument (document: QueueDocument): Result<QueueDocument> {
  const reason = findUnknownService(document) ?? findSharedAddress(document) ?? findSharedKey(document)
  return reason === undefined ? succeed(document) : fail('invalid_configuration', reason)
}

function findUnknownService ({ queues, services }: QueueDocument): string | undefined {
  const known = new Set(services.map(service => service.name))
  const queue = queues.find(candidate => !known.has(candidate.service))
  return queue === undefined ? undefined : `queue ${queue.name} names the unknown service ${queue.service}`
}

function findSharedAddress ({ queues }: QueueDocument): string | undefined {
  const duplicate = findDuplicate(queues.map(queue => `${queue.host}${queue.pathPrefix}`))
  return duplicate === undefined ? undefined : `two queues share the address ${duplicate}`
}

function findSharedKey ({ organisations }: QueueDocument): string | undefined {
  const owners = new Map<string, string>()
  for (const { name, apiKeys } of organisations) {
    for (const key of apiKeys) {
      const owner = owners.get(key)
      if (owner !== undefined && owner !== name) return `organisations ${owner} and ${name} share a key`
      owners.set(key, name)
    }
  }
  return undefined
}

function findDuplicate (values: readonly string[]): string | undefined {
  const seen = new Set<string>()
  return values.find(value => {
    const isDuplicate = seen.has(value)
    seen.add(value)
    return isDuplicate
  })
}

/** A configuration document, indexed for look-ups by requests. */
export class QueueDirectory {
  readonly document: QueueDocument
  readonly #byAddress = new Map<string, QueueConfiguration>()
  readonly #byHost = new Map<string, QueueConfiguration[]>()
  readonly #organisationByKey = new Map<string, string>()
  readonly #organisations = new Map<string, OrganisationConfiguration>()
  readonly #services: ReadonlySet<string>
  readonly #hasRegionRules: boolean

  constructor (document: QueueDocument) {
    this.document = document
    this.#services = new Set(document.services.map(service => service.name))
    this.#hasRegionRules = [...document.queues, ...document.organisations]
      .some(({ permittedRegions = [] }) => permittedRegions.length > 0)
    for (const queue of document.queues) {
      this.#byAddress.set(queueAddress(queue), queue)
      const queues = this.#byHost.get(queue.host) ?? []
      queues.push(queue)
      this.#byHost.set(queue.host, queues)
    }
    for (const queues of this.#byHost.values()) queues.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    for (const organisation of document.organisations) {
      this.#organisations.set(organisation.name, organisation)
      for (const key of organisation.apiKeys) this.#organisationByKey.set(key, organisation.name)
    }
  }

  /** The queue with the longest path prefix that matches. */
  match (host: string, path: string): QueueConfiguration | undefined {
    return this.#byHost.get(host)?.find(queue => path.startsWith(queue.pathPrefix))
  }

  /** The queue with this address. */
  at (address: string): QueueConfiguration | undefined {
    return this.#byAddress.get(address)
  }

  /** Whether the configuration names a service. */
  hasService (name: string): boolean {
    return this.#services.has(name)
  }

  /** Organisation that an API key belongs to. */
  organisationOf (key: string): string | undefined {
    return this.#organisationByKey.get(key)
  }

  /** Regions in which an organisation's tasks may run; empty for all. */
  permittedRegions (organisation: string): readonly string[] {
    return this.#organisations.get(organisation)?.permittedRegions ?? []
  }

  /** Whether any queue or organisation restricts the regions of its tasks. */
  get hasRegionRules (): boolean {
    return this.#hasRegionRules
  }

  /** Accelerators guaranteed to an organisation; 0 where it is unknown. */
  guaranteedAccelerators (organisation: string): number {
    return this.#organisations.get(organisation)?.guaranteedAccelerators ?? 0
  }
}

/**
 * Address of a queue, which identifies it across versions of the configuration.
 *
 * @example
 * queueAddress({ ...queue, host: 'a.example', pathPrefix: '/b/' }) // 'a.example/b/'
 */
export function queueAddress (queue: Pick<QueueConfiguration, 'host' | 'pathPrefix'>): string {
  return `${queue.host}${queue.pathPrefix}`
}
