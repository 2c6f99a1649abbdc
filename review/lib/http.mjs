/** HTTP calls of the stand-ins, with a time limit for the whole call. */
import { Agent, createServer, request } from 'node:http'

const agent = new Agent({ keepAlive: true, maxSockets: 200 })

/** Resolves to the status and the text of the response, or to undefined without a complete response in time. */
export async function call (address, { method, path, headers = {}, body, timeoutMs }) {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const outgoing = request({ host, port: Number(port), method, path, agent, headers }, response => {
      const chunks = []
      response.on('data', chunk => { chunks.push(chunk) })
      response.on('end', () => { finish({ status: response.statusCode, text: Buffer.concat(chunks).toString('utf8') }) })
      response.on('aborted', () => { finish(undefined) })
    })
    const timer = setTimeout(() => {
      outgoing.destroy()
      finish(undefined)
    }, timeoutMs)
    function finish (result) {
      clearTimeout(timer)
      resolve(result)
    }
    outgoing.on('error', () => { finish(undefined) })
    if (body !== undefined) {
      outgoing.setHeader('content-type', 'application/json')
      outgoing.setHeader('content-length', Buffer.byteLength(body))
      outgoing.write(body)
    }
    outgoing.end()
  })
}

/** Parses JSON; undefined where the text is none. */
export function parse (text) {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Serves JSON on a loopback address; the handler gets method, path, headers and the parsed body. */
export async function serve (host, handle) {
  const server = createServer((incoming, response) => {
    const chunks = []
    incoming.on('data', chunk => { chunks.push(chunk) })
    incoming.on('error', () => {})
    incoming.on('end', async () => {
      const body = parse(Buffer.concat(chunks).toString('utf8'))
      const { status, body: answer } = await handle({
        method: incoming.method, path: incoming.url, headers: incoming.headers, body
      })
      const text = JSON.stringify(answer)
      response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
      response.end(text)
    })
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, host, resolve)
  })
  return { address: `${host}:${server.address().port}`, close: () => { server.closeAllConnections(); server.close() } }
}
