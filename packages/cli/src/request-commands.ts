/** `request SERVICE` and `claim ORG KEY`. */
import type { ClaimAnswer, ShortRequestAnswer } from './api-types.js'
import { Command, type CommandContext, ShowCommand } from './command.js'
import type { ExitReason } from './exit.js'
import type { ShortRequest } from './node-client.js'
import { renderFields } from './tables.js'
import { uuidV7 } from './uuid-v7.js'

/** `request SERVICE`: the body is read from stdin, the answer's body is written to stdout unchanged. */
export class RequestCommand extends Command {
  override readonly words = ['request']
  override readonly parameters = ['SERVICE']
  override readonly summary = 'send a short request with the body from stdin; needs --organisation'

  override async run (context: CommandContext): Promise<ExitReason> {
    const { client, output, streams, options, values } = context
    if (options.organisation === undefined) {
      output.problem({ option: 'organisation' }, '--organisation: found nothing, allowed an organisation ID')
      return 'usage'
    }
    const request = buildRequest(context, values[0] ?? '', options.organisation, await streams.readStdin())
    // The key is needed to ask for the outcome, so it is written before anything can go wrong.
    if (request.idempotencyKey !== undefined) output.note(`idempotency-key: ${request.idempotencyKey}`)
    const answer = await client.sendRequest(request)
    if (options.json) output.show(toJson(answer), () => '')
    else showAnswer(context, answer)
    return answer.status < 400 ? 'done' : 'refused'
  }
}

/** `claim ORG KEY`. */
export class ClaimCommand extends ShowCommand<ClaimAnswer> {
  override readonly words = ['claim']
  override readonly parameters = ['ORG', 'KEY']
  override readonly summary = 'show the outcome of a non-repeatable request'

  protected override async fetch ({ client, values }: CommandContext): Promise<ClaimAnswer> {
    const [organisationId = '', key = ''] = values
    return await client.claim(organisationId, key)
  }

  protected override render (claim: ClaimAnswer): string {
    return renderFields({ ...claim })
  }
}

/** A non-repeatable request always has a key, so that it can be sent again and asked for. */
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

function showAnswer ({ output, streams }: CommandContext, answer: ShortRequestAnswer): void {
  streams.write(answer.body)
  const { status, requestId, attempts, claim } = answer
  output.note(`status ${status}, request ${requestId}, attempts ${attempts}, claim ${claim}`)
}

function toJson ({ body, ...rest }: ShortRequestAnswer): object {
  return { ...rest, bodyBase64: body.toString('base64') }
}
