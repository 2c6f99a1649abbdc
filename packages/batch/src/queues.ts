/** Configuration of queues, services and organisations: one document, replaced as a whole by a higher version. */
import { fail, succeed, type Result } from '@comfreygrade/core'

/** Permission service of a queue, and what its calls take. */
export interface AdvicePolicy {
  readonly decideMs: number
  readonly perWorkerMs: number
  /** How long a ticket holds after it was granted. */
  readonly ticketValidMs: number
}

/** A queue of jobs, found by the host and the longest path prefix of a request. */
export interface QueueConfiguration {
  readonly name: string
  readonly host: string
  readonly pathPrefix: string
  readonly service: string
  readonly timeoutMs: number
  /** Added to the stretched run time for the completion objective. */
  readonly targetLatencyMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly maxAttempts: number
  /** Completion objective as a multiple of the longest chain of work. */
  readonly slackFactor: number
  /** Requests need no key. */
  readonly isAnonymous: boolean
  readonly advice?: AdvicePolicy
}

/** A pool of workers. */
export interface ServiceConfiguration {
  readonly name: string
  /** The pool's VMs are switched off and cost nothing. */
  readonly isStandby: boolean
}

/** An organisation, its keys and its guarantee. */
export interface OrganisationConfiguration {
  readonly name: string
  readonly apiKeys: readonly string[]
  /** Accelerators that jobs of priority 0 can always have. */
  readonly guaranteedAccelerators: number
}

/** A whole configuration. */
export interface QueueDocument {
  readonly version: number
  readonly queues: readonly QueueConfiguration[]
  readonly services: readonly ServiceConfiguration[]
  readonly organisations: readonly OrganisationConfiguration[]
  /** The document as the operator sent it, for reading it back. */
  readonly source: string
}

/**
 * Checks what a document says of itself; the reason names the offending entry.
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

/** A document with the indexes that requests need. */
export class QueueDirectory {
  readonly document: QueueDocument
  readonly #byName = new Map<string, QueueConfiguration>()
  readonly #byHost = new Map<string, QueueConfiguration[]>()
  readonly #organisationByKey = new Map<string, string>()
  readonly #organisations = new Map<string, OrganisationConfiguration>()

  constructor (document: QueueDocument) {
    this.document = document
    for (const queue of document.queues) {
      this.#byName.set(queueAddress(queue), queue)
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

  /** The queue with the longest prefix of a path. */
  match (host: string, path: string): QueueConfiguration | undefined {
    return this.#byHost.get(host)?.find(queue => path.startsWith(queue.pathPrefix))
  }

  /** The queue that has this address now. */
  at (address: string): QueueConfiguration | undefined {
    return this.#byName.get(address)
  }

  /** Organisation that holds a key. */
  organisationOf (key: string): string | undefined {
    return this.#organisationByKey.get(key)
  }

  /** Accelerators guaranteed to an organisation. */
  guaranteedAccelerators (organisation: string): number {
    return this.#organisations.get(organisation)?.guaranteedAccelerators ?? 0
  }
}

/**
 * Identity of a queue over versions of the configuration.
 *
 * @example
 * queueAddress({ ...queue, host: 'a.example', pathPrefix: '/b/' }) // 'a.example/b/'
 */
export function queueAddress (queue: Pick<QueueConfiguration, 'host' | 'pathPrefix'>): string {
  return `${queue.host}${queue.pathPrefix}`
}
