/** Starts the project's programs as separate processes on loopback addresses, with the commands of the deploy file. */
import { spawn } from 'node:child_process'
import { closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, statSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { pause } from './time.mjs'

const REPOSITORY = dirname(dirname(dirname(fileURLToPath(import.meta.url))))
/** Pause before a process that has ended is started again. */
const RESTART_DELAY_MS = 500
const INTERNAL_PORT_COUNT = 16

/** The command of a role in the deploy file, split at spaces. */
function commandOf (role) {
  const text = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8')
  const section = text.split(/^\[roles\./m).find(part => part.startsWith(`${role}]`))
  const command = section?.match(/^run = "([^"]*)"$/m)?.[1]
  if (command === undefined) throw new Error(`the deploy file has no command for the role ${role}`)
  return command.split(' ')
}

async function isFree (host, port) {
  return await new Promise(resolve => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, host, () => { server.close(() => { resolve(true) }) })
  })
}

/** Finds a run of ports that are free on all given hosts. */
async function findFreePorts (hosts, count) {
  for (let attempt = 0; attempt < 200; attempt++) {
    const first = 20_000 + Math.floor(Math.random() * 10_000)
    const ports = Array.from({ length: count }, (_, index) => first + index)
    const checks = await Promise.all(hosts.flatMap(host => ports.map(port => isFree(host, port))))
    if (checks.every(Boolean)) return first
  }
  throw new Error('no free ports')
}

/** A small deployment: three control nodes and one or more entry nodes, each on its own loopback address. */
export class System {
  #children = new Map()
  #isStopping = false
  #isFirstStart = true

  constructor (record, { entryCount = 1, bounds = {}, adviceAddress, cloudAddress } = {}) {
    this.record = record
    const octet = 1 + process.pid % 250
    this.network = octet
    this.controlHosts = [1, 2, 3].map(host => `127.${octet}.0.${host}`)
    this.entryHosts = Array.from({ length: entryCount }, (_, index) => `127.${octet}.0.${11 + index}`)
    this.bounds = bounds
    this.adviceAddress = adviceAddress
    this.cloudAddress = cloudAddress
    this.exits = []
  }

  async start () {
    statSync(join(REPOSITORY, 'target/comfreygrade.mjs'))
    this.folder = mkdtempSync(join(tmpdir(), 'comfreygrade-review-'))
    const hosts = [...this.controlHosts, ...this.entryHosts]
    this.port = await findFreePorts(hosts, INTERNAL_PORT_COUNT + 3)
    for (const host of hosts) this.#startProcess(host)
    await pause(1_000)
    this.#isFirstStart = false
    for (const host of hosts) this.#writeSettings(host)
  }

  get controlAddresses () {
    return this.controlHosts.map(host => `${host}:${this.port + INTERNAL_PORT_COUNT}`)
  }

  get entryAddresses () {
    return this.entryHosts.map(host => `${host}:${this.port + INTERNAL_PORT_COUNT + 1}`)
  }

  /** The control node that leads, from the heartbeat addresses that the system gives to workers. */
  hostOf (address) {
    return address.split(':')[0]
  }

  kill (host) {
    this.record.add('process killed', { host, signal: 'SIGKILL' })
    this.#children.get(host)?.kill('SIGKILL')
  }

  /** Resident memory of the processes in MB, by host. */
  memory () {
    return Object.fromEntries([...this.#children].map(([host, { pid }]) => {
      const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1])
      return [host, Math.round(pages * 4_096 / 1_048_576)]
    }))
  }

  /** Ends all processes and removes their files. */
  async stop () {
    this.#isStopping = true
    const exits = [...this.#children.values()].map(child => new Promise(resolve => { child.once('exit', resolve) }))
    for (const child of this.#children.values()) child.kill('SIGKILL')
    await Promise.all(exits)
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true })
    else console.log(`logs in ${this.folder}`)
  }

  #startProcess (host) {
    const isControl = this.controlHosts.includes(host)
    const [program, ...programArguments] = commandOf(isControl ? 'control' : 'entry')
    this.#writeSettings(host)
    const log = openSync(join(this.folder, `${host}.log`), 'a')
    const child = spawn(program, programArguments, {
      cwd: REPOSITORY,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C', COMFREYGRADE_BOOT: this.#settingsPath(host) },
      stdio: ['ignore', log, log]
    })
    closeSync(log)
    this.#children.set(host, child)
    child.once('exit', (code, signal) => {
      this.#children.delete(host)
      if (this.#isStopping) return
      this.exits.push({ host, code, signal })
      this.record.add('process ended', { host, code, signal })
      setTimeout(() => { if (!this.#isStopping) this.#startProcess(host) }, RESTART_DELAY_MS)
    })
  }

  #settingsPath (host) {
    return join(this.folder, `${host}.yaml`)
  }

  /** JSON is valid YAML. */
  #writeSettings (host) {
    const isControl = this.controlHosts.includes(host)
    const dataDir = isControl ? join(this.folder, `data-${host}`) : null
    if (dataDir !== null) mkdirSync(dataDir, { recursive: true })
    const [controlPort, entryPort, readyPort] = [0, 1, 2].map(index => this.port + INTERNAL_PORT_COUNT + index)
    writeFileSync(this.#settingsPath(host), JSON.stringify({
      nodeName: `${isControl ? 'core' : 'front'}-${host}`,
      role: isControl ? 'control' : 'entry',
      machineClass: isControl ? 'core' : 'front',
      serves: [isControl ? 'control' : 'front'],
      ip: host,
      zone: 'zone-a',
      region: 'region-a',
      zones: { 'zone-a': 'region-a' },
      bindAddrs: isControl
        ? { control: `${host}:${controlPort}` }
        : { frontend: `${host}:${entryPort}`, ready: `${host}:${readyPort}` },
      internalPorts: [this.port, this.port + INTERNAL_PORT_COUNT - 1],
      seeds: this.controlAddresses,
      bootstrap: this.#isFirstStart,
      inTolerance: isControl,
      limits: {
        cpuShare: 0.675,
        cores: isControl ? 2 : 1,
        memoryMb: isControl ? 346 : 350,
        maxFds: 4100,
        linkMbps: 1000,
        diskMb: isControl ? 128 : 0
      },
      dataDir,
      discovery: 'registry',
      entry: 'vip',
      heartbeatMs: 1500,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'tenants', 'advice', 'upkeep', 'sharing'],
      faultTolerance: { machines: 1, zones: 0, regionCount: 0 },
      bounds: { ...siteBounds, ...this.bounds },
      config_mode: 'highest',
      orders: 'heartbeat',
      advice: this.adviceAddress ?? null,
      cloudApi: this.cloudAddress === undefined
        ? null
        : { address: this.cloudAddress, ratePerS: 60, duties: ['upkeep'], dutyPerS: 60 }
    }))
  }
}

/** Bounds of the site ferreyra-cuotas, as in the example of the page on the settings file. */
export const siteBounds = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 4000,
  ackMs: 5000,
  catchUpS: 4,
  drainMs: 2500,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2500,
  downgradeSlackMs: 250,
  maxExtensionMs: 6000,
  strictRevocation: true,
  revokeMs: 5000,
  recoverS: 12,
  holdMaxMs: 6000,
  stopMs: 200,
  gangMs: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  farFactor: 3,
  saveS: 0.5,
  restoreMs: 100,
  noticeMs: 5500,
  moveS: 1.5,
  upkeepS: 2,
  fencing: true,
  leaseMs: 3000,
  thawMs: 300,
  paceMs: 100,
  harmMs: 4000,
  reclaimMs: 5700
}
