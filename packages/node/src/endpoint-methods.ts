/** Methods of the HTTP endpoints, to distinguish a wrong method from an unknown path. */

interface Endpoint {
  readonly method: string
  readonly pattern: RegExp
}

/**
 * Looks up the methods of a path.
 *
 * @example
 * new EndpointMethods(['GET /jobs', 'POST /jobs']).methodsOf('/v1/jobs?limit=1') // ['GET', 'POST']
 */
export class EndpointMethods {
  readonly #endpoints: readonly Endpoint[]

  /** @param aliases method and path below `/v1`, where `:name` matches one path segment */
  constructor (aliases: readonly string[]) {
    this.#endpoints = aliases.map(toEndpoint)
  }

  /** Methods that the path of a URL supports; empty if the path does not exist. */
  methodsOf (url: string): string[] {
    const path = url.split('?')[0] ?? ''
    return this.#endpoints.filter(({ pattern }) => pattern.test(path)).map(({ method }) => method)
  }
}

function toEndpoint (alias: string): Endpoint {
  const [method = '', path = ''] = alias.split(' ')
  return { method, pattern: new RegExp(`^/v1${path.replace(/:[a-z]+/g, '[^/]+')}/?$`) }
}
