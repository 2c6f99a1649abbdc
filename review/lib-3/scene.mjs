/** What the scripts have in common: a deployment with a manifest, a client and sound runners. */
import { Deployment, pause } from './deployment.mjs'
import { Client, putManifest } from './http.mjs'
import { Runner } from './runner.mjs'

export const HOST = 'nony24.example'
export const KEY = 'd4a3hwrr6x73d3zji9n7'
export const SERVICE = 'liquidador'
export const PREFIX = '/lohu930/'
const READY_TIMEOUT_MS = 30_000

/** A manifest with one route, one service and one tenant; `route` and `fields` replace parts of it. */
export function manifestOf (version, { route = {}, ...fields } = {}) {
  return {
    version,
    routes: [{
      name: 'r-ce7ejsm',
      host: HOST,
      pathPrefix: PREFIX,
      kind: 'unsafe',
      timeoutMs: 3_000,
      targetLatencyMs: 2_000,
      priority: 1,
      service: SERVICE,
      maxAttempts: 3,
      slackFactor: 3,
      anonymous: false,
      ...route
    }],
    services: [{
      name: SERVICE, healthPath: '/healthz', maxConnections: 64, protocol: 'h1', tls: false, rejectsOverload: true, standby: false
    }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [{ name: 'kaje80', apiKeys: [KEY], priority: 1, guaranteed: { gpu: 0 } }],
    ...fields
  }
}

/** Starts the processes and puts a manifest. */
export async function openDeployment ({ atEnd, manifest = manifestOf(7), ...options }) {
  const deployment = await Deployment.create(options)
  atEnd(async () => { await deployment.stop() })
  deployment.startAll()
  await putManifest(deployment.controlAddresses, manifest, { timeoutMs: READY_TIMEOUT_MS })
  return deployment
}

export function clientOf (deployment, { host = HOST, key = KEY } = {}) {
  return new Client(deployment.clientAddresses, { host, key })
}

/** Starts a sound runner; `events` gets what it starts and ends, with the time in the record. */
export function startRunner (deployment, { id, index, record, atEnd, events, ...options }) {
  const runner = new Runner({
    id,
    service: SERVICE,
    address: `10.128.0.${index}:8080`,
    machine: `m-0a3f${index}`,
    controlAddresses: deployment.controlAddresses,
    onEvent: event => { events.push({ ...event, atMs: record.nowMs }) },
    ...options
  })
  atEnd(async () => { runner.stop() })
  runner.run()
  return runner
}

export { pause }
