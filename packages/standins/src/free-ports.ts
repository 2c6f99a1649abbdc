/** Selects ports for processes that are started later. */
import { createServer } from 'node:net'
import { LOOPBACK_HOST } from './loopback-server.js'

/** Below the ephemeral port range, from which an outgoing connection could take a port before its process starts. */
const PORT_RANGE_START = 20_000
const PORT_RANGE_LENGTH = 12_000
/** Distance between the first ports that concurrent processes try, so that they seldom choose the same one. */
const PORT_STEP_PER_PROCESS = 64

let nextOffset = (process.pid * PORT_STEP_PER_PROCESS) % PORT_RANGE_LENGTH

/**
 * Finds ports that nothing listens on.
 *
 * @example
 * const [httpPort, peerPort] = await findFreePorts(2)
 */
export async function findFreePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = PORT_RANGE_START + nextOffset
    nextOffset = (nextOffset + 1) % PORT_RANGE_LENGTH
    if (await isFree(port)) ports.push(port)
  }
  return ports
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  const isListening = await new Promise<boolean>(resolve => {
    server.once('error', () => { resolve(false) })
    server.listen(port, LOOPBACK_HOST, () => { resolve(true) })
  })
  if (isListening) await new Promise(resolve => { server.close(resolve) })
  return isListening
}
