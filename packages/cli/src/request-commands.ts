/** `request SERVICE` and `claim ORG KEY`. */
import type { ClaimResponse, ShortRequestResponse } from './api-types.js'
import { Command, type CommandContext, SingleCallCommand } from './command.js'
import type { ExitReason } from './exit.js'
import type { ShortRequest } from './node-client.js'
import { renderFields } from './tables.js'
import { uuidV7 } from './uuid-v7.js'

/** `request SERVICE`: reads the request body from stdin and writes the response body to stdout unchanged. */
export class RequestCommand extends Command {
  override readonly words = ['request']
  override readonly parameters = ['SERVICE']
  override readonly summary = 'send a short request with the body from stdin; needs --organisation'

  override async run (context: CommandContext): Promise<ExitReason> {
    const { client, output, streams, options, args } = context
    if (options.organisation === undefined) {
      output.writeProblem({ option: 'organisation' }, '--organisation is required')
      return 'usage'
    }
    const request = buildRequest(context, args[0] ?? '', options.organisation, await streams.readStdin())
    // The key is needed to query the outcome of a failed request, so it is written before the request is sent.
    if (request.idempotencyKey !== undefined) output.writeNote(`idempotency-key: ${request.idempotencyKey}`)
    const response = await client.sendRequest(request)
    if (options.json) output.writeResult(toJson(response), () => '')
    else writeResponse(context, response)
    return response.status < 400 ? 'done' : 'refused'
  }
}

/** `claim ORG KEY`. */
export class ClaimCommand extends SingleCallCommand<ClaimResponse> {
  override readonly words = ['claim']
  override readonly parameters = ['ORG', 'KEY']
  override readonly summary = 'show the outcome of a non-repeatable request'

  protected override async fetch ({ client, args }: CommandContext): Promise<ClaimResponse> {
    const [organisationId = '', key = ''] = args
    return await client.claim(organisationId, key)
  }

  protected override render (claim: ClaimResponse): string {
    return renderFields({ ...claim })
  }
}

/**
 * Builds the request from the options. Generates a key for a non-repeatable request without one, so that it can be
 * retried and its outcome queried.
 */
function buildRequest (
  { options }: CommandContext, service: string, organisationId: string, body: Buffer
): ShortRequest {
  const { nonRepeatable, key, deadlineMs, requestClass, contentType } = options
  return {
    service,
    organisationId,
    body,
    repeatability: nonRepeatable ? 'non-repeatable' : 'idempotent',
    idempotencyKey: key ?? (nonRepeatable ? uuidV7(Date.now()) : undefined),
    deadlineMs,
    requestClass,
    contentType
  }
}

function writeResponse ({ output, streams }: CommandContext, response: ShortRequestResponse): void {
  streams.write(response.body)
  const { status, requestId, attempts, claim } = response
  output.writeNote(`status ${status}, request ${requestId}, attempts ${attempts}, claim ${claim}`)
}

function toJson ({ body, ...rest }: ShortRequestResponse): object {
  return { ...rest, bodyBase64: body.toString('base64') }
}
