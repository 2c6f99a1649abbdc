/** Ports for processes that are started later. */
import { createServer } from 'node:net'
import { LOOPBACK_HOST } from './loopback-server.js'

/** Below the range from which the operating system takes ports of outgoing connections, which could take them first. */
const FIRST_PORT = 20_000
const PORTS = 12_000
/** Distance of the ports at which two processes that run at once begin to look. */
const PORTS_PER_PROCESS = 64

let next = (process.pid * PORTS_PER_PROCESS) % PORTS

/**
 * Finds ports that nothing listens on.
 *
 * @example
 * const [httpPort, peerPort] = await findFreePorts(2)
 */
export async function findFreePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = FIRST_PORT + next
    next = (next + 1) % PORTS
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
