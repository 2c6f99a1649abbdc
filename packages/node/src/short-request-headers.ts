/** Parses the headers of a short request, which a backend server answers while the caller waits. */
import type { IncomingHttpHeaders } from 'node:http'
import { v7, validate, version } from 'uuid'
import { fail, succeed, type Repeatability, type RequestSpec, type Result, type Rules } from '@comfreygrade/core'
import { checkInput, identifierSchema } from './http-schemas.js'

/**
 * Creates a request from its headers, or fails with the first invalid header.
 *
 * Without `comfreygrade-repeatable` a request counts as non-repeatable, so that it is never executed twice.
 *
 * @example
 * readShortRequest('print-billing', { 'comfreygrade-organisation': 'udelar' }, rules, nowMs)
 */
export function readShortRequest (
  service: string,
  headers: IncomingHttpHeaders,
  rules: Rules,
  nowMs: number
): Result<RequestSpec> {
  const serviceId = checkInput(identifierSchema, service, 'path.service')
  if (!serviceId.ok) return serviceId
  const organisation = readIdentifier(headers, 'comfreygrade-organisation', undefined)
  if (!organisation.ok) return organisation
  const requestId = readIdentifier(headers, 'comfreygrade-request-id', v7())
  if (!requestId.ok) return requestId
  const requestClass = readIdentifier(headers, 'comfreygrade-request-class', service)
  if (!requestClass.ok) return requestClass
  const deadlineMs = readDeadline(headers, rules)
  if (!deadlineMs.ok) return deadlineMs
  const repeatability = readRepeatability(headers)
  if (!repeatability.ok) return repeatability
  const key = readIdempotencyKey(headers)
  if (!key.ok) return key
  return succeed({
    requestId: requestId.value,
    organisationId: organisation.value,
    service,
    requestClass: requestClass.value,
    repeatability: repeatability.value,
    idempotencyKey: key.value,
    contentType: headers['content-type'],
    deadlineAtMs: nowMs + deadlineMs.value
  })
}

function readIdentifier (headers: IncomingHttpHeaders, name: string, fallback: string | undefined): Result<string> {
  return checkInput(identifierSchema, headers[name] ?? fallback, `header ${name}`)
}

function readDeadline (headers: IncomingHttpHeaders, rules: Rules): Result<number> {
  const text = headers['comfreygrade-deadline-ms']
  if (text === undefined) return succeed(rules.defaultDeadlineMs)
  const deadlineMs = Number(text)
  if (!Number.isInteger(deadlineMs) || deadlineMs < 1 || deadlineMs > rules.maxDeadlineMs) {
    const allowed = `a whole number of milliseconds from 1 to ${rules.maxDeadlineMs}`
    return fail('invalid_request', `header comfreygrade-deadline-ms: found ${String(text)}, allowed: ${allowed}`)
  }
  return succeed(deadlineMs)
}

function readRepeatability (headers: IncomingHttpHeaders): Result<Repeatability> {
  const text = headers['comfreygrade-repeatable'] ?? 'non-repeatable'
  if (text === 'idempotent' || text === 'non-repeatable') return succeed(text)
  const detail = `header comfreygrade-repeatable: found ${String(text)}, allowed: idempotent, non-repeatable`
  return fail('invalid_request', detail)
}

function readIdempotencyKey (headers: IncomingHttpHeaders): Result<string | undefined> {
  const key = headers['idempotency-key']
  if (key === undefined) return succeed(undefined)
  if (typeof key !== 'string' || !validate(key) || version(key) !== 7) {
    return fail('key_invalid', `header idempotency-key: found ${String(key)}, allowed: a UUID of version 7`)
  }
  return succeed(key.toLowerCase())
}
