/** One HTTP request with a limit for the whole exchange. */
import { Agent, request as httpRequest } from 'node:http'

const agent = new Agent({ keepAlive: true, maxSockets: 256 })

/**
 * Resolves to `{ status, body, bytes, ms }`; `status` is 0 where no complete response came in time, with the reason in
 * `error`.
 */
export async function call (method, url, { headers = {}, body, timeoutMs = 1_000, keepAlive = true } = {}) {
  const startedMs = performance.now()
  const text = body === undefined ? undefined : typeof body === 'string' ? body : JSON.stringify(body)
  return await new Promise(resolve => {
    const end = result => {
      clearTimeout(timer)
      resolve({ ms: Math.round(performance.now() - startedMs), ...result })
    }
    const outgoing = httpRequest(url, {
      method,
      agent: keepAlive ? agent : false,
      headers: {
        ...(text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
        ...headers
      }
    }, response => {
      const chunks = []
      let bytes = 0
      response.on('data', chunk => {
        bytes += chunk.length
        chunks.push(chunk)
      })
      response.on('error', error => { end({ status: 0, error: String(error) }) })
      response.on('aborted', () => { end({ status: 0, error: 'the response broke off' }) })
      response.on('end', () => {
        end({ status: response.statusCode, body: parse(Buffer.concat(chunks).toString('utf8')), bytes, headers: response.headers })
      })
    })
    const timer = setTimeout(() => {
      end({ status: 0, error: `no response within ${timeoutMs} ms` })
      outgoing.destroy()
    }, timeoutMs)
    outgoing.on('error', error => { end({ status: 0, error: error.code ?? String(error) }) })
    outgoing.end(text)
  })
}

function parse (text) {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
