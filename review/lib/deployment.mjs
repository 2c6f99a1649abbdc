/** The manifest and the clients of a small deployment. */
import { Client, Operator } from './client.mjs'
import { need } from './case.mjs'
import { System } from './system.mjs'

export const SERVICE = 'liquidador'
export const TENANT = { host: 'nony24.example', apiKey: 'd4a3hwrr6x73d3zji9n7' }

/** A route of the manifest; `name` is also its path. */
export function route (name, options = {}) {
  return {
    name: `r-${name}`,
    host: TENANT.host,
    pathPrefix: `/${name}/`,
    kind: 'unsafe',
    timeoutMs: 3000,
    targetLatencyMs: 4000,
    priority: 1,
    service: SERVICE,
    maxAttempts: 4,
    slackFactor: 3,
    anonymous: false,
    ...options
  }
}

export function manifest (version, routes) {
  return {
    version,
    routes,
    services: [{
      name: SERVICE,
      healthPath: '/healthz',
      maxConnections: 64,
      protocol: 'h1',
      tls: false,
      rejectsOverload: true,
      standby: false
    }],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
    tenants: [{ name: 'kaje80', apiKeys: [TENANT.apiKey], priority: 1, guaranteed: { gpu: 0 } }]
  }
}

/** A job ID of 16 hexadecimal digits. */
export function jobId (number) {
  return number.toString(16).padStart(16, '5c0e7a21d94b0000')
}

/** Starts a system and puts its first manifest in force. */
export async function startSystem ({ record, onEnd }, routes, options = {}) {
  const system = new System(record, options)
  onEnd(async () => { await system.stop() })
  await system.start()
  const operator = new Operator(record, system.controlAddresses)
  const client = new Client(record, system.entryAddresses, TENANT)
  need(await operator.change('PUT', '/api/config', manifest(1, routes), 20_000), 'the first manifest was not accepted')
  return { system, operator, client }
}

/** Kills the control node that answers the heartbeats of the runners, which is the leader. */
export function killLeader (system, runners) {
  const host = system.hostOf(runners[0].target)
  need(system.controlHosts.includes(host), 'the leader is not known')
  system.kill(host)
}
