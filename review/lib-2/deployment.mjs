/** A small deployment on loopback addresses: settings files, and the processes that the deploy file names. */
import { spawn } from 'node:child_process'
import { createServer } from 'node:net'
import { mkdir, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { createWriteStream } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..')
const FRONTEND_PORT = 8521
const READY_PORT = 8523
const CONTROL_PORT = 8526
const FIRST_INTERNAL_PORT = 7000
const LAST_INTERNAL_PORT = 7015
const RESTART_DELAY_MS = 300

/** Bounds of the settings, as DEPLOY.md shows them. */
const BOUNDS = {
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

/** Zones and the region of each. */
const ZONES = { 'zone-a': 'region-a', 'zone-b': 'region-b', 'zone-c': 'region-c' }
const ZONE_NAMES = Object.keys(ZONES)

/** The words of the command of a role of the deploy file. */
async function commandOf (role) {
  const text = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8')
  const section = text.split(`[roles.${role}]`)[1] ?? ''
  const words = /^run = "(.*)"$/m.exec(section)?.[1].split(' ')
  if (words === undefined) throw new Error(`the deploy file has no role ${role}`)
  return words
}

async function isFree (host, port) {
  return await new Promise(resolve => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, host, () => { server.close(() => { resolve(true) }) })
  })
}

/** A prefix of three octets of loopback addresses at which the ports of a deployment are free. */
async function findPrefix () {
  for (let attempt = 0; attempt < 50; attempt++) {
    const octet = () => 2 + Math.floor(Math.random() * 250)
    const prefix = `127.${octet()}.${octet()}`
    const ports = [FRONTEND_PORT, READY_PORT, CONTROL_PORT, FIRST_INTERNAL_PORT, FIRST_INTERNAL_PORT + 10]
    const free = await Promise.all(ports.map(async port => await isFree(`${prefix}.11`, port)))
    if (free.every(Boolean)) return prefix
  }
  throw new Error('no free loopback addresses')
}

/** All processes that are running. */
const running = new Set()

/** Ends processes that are left, also of a deployment whose start failed. */
export function killAll () {
  for (const child of running) child.kill('SIGKILL')
}

/** One process of the system; started again after an end of its own, as the platform does. */
class Process {
  constructor (options) {
    Object.assign(this, options)
    this.ends = []
    this.isWanted = false
  }

  get controlUrl () { return `http://${this.ip}:${CONTROL_PORT}` }
  get frontUrl () { return `http://${this.ip}:${FRONTEND_PORT}` }

  async start (settings) {
    this.settings = settings
    await writeFile(this.settingsPath, toYaml(this.settings))
    this.isWanted = true
    this.#spawn()
  }

  #spawn () {
    const [program, ...args] = this.command
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, args, {
      cwd: ROOT, env: { PATH, HOME, LANG, COMFREYGRADE_BOOT: this.settingsPath }, stdio: ['ignore', 'pipe', 'pipe']
    })
    const log = createWriteStream(this.logPath, { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    this.child = child
    running.add(child)
    child.once('exit', (code, signal) => {
      running.delete(child)
      log.end()
      if (this.child === child) this.child = undefined
      if (!this.isWanted) return
      this.ends.push({ atMs: Date.now(), code, signal })
      this.onEnd?.(this, code, signal)
      setTimeout(async () => {
        if (!this.isWanted || this.child !== undefined) return
        await writeFile(this.settingsPath, toYaml({ ...this.settings, bootstrap: false }))
        this.#spawn()
      }, RESTART_DELAY_MS)
    })
  }

  /** Ends the process for good. */
  async kill () {
    this.isWanted = false
    const child = this.child
    if (child === undefined) return
    await new Promise(resolve => {
      child.once('exit', resolve)
      child.kill('SIGKILL')
    })
  }
}

/** Starts control and front processes; `stop` ends all of them and removes their files. */
export class Deployment {
  constructor ({ prefix, folder, controls, fronts }) {
    Object.assign(this, { prefix, folder, controls, fronts })
  }

  static async start ({
    controlCount = 3, frontCount = 1, settings = () => ({}), onEnd, log = () => {}
  } = {}) {
    const prefix = await findPrefix()
    const folder = await mkdtemp(join(tmpdir(), 'review-'))
    const seeds = Array.from({ length: controlCount }, (_, index) => `${prefix}.${11 + index}:${CONTROL_PORT}`)
    const create = async (role, machineClass, index, ip) => {
      const name = `${machineClass}-${index + 1}`
      const home = join(folder, name)
      const isControl = machineClass === 'core'
      await mkdir(join(home, 'data'), { recursive: true })
      const zone = ZONE_NAMES[index % ZONE_NAMES.length]
      const process = new Process({
        name,
        ip,
        zone,
        command: await commandOf(role),
        settingsPath: join(home, 'node.yaml'),
        logPath: join(home, 'log'),
        onEnd
      })
      const addresses = isControl
        ? { control: `${ip}:${CONTROL_PORT}` }
        : { frontend: `${ip}:${FRONTEND_PORT}`, ready: `${ip}:${READY_PORT}` }
      await process.start({
        nodeName: name,
        role,
        machineClass,
        serves: [isControl ? 'control' : 'front'],
        ip,
        zone,
        region: ZONES[zone],
        zones: ZONES,
        bindAddrs: addresses,
        internalPorts: [FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT],
        seeds,
        bootstrap: true,
        inTolerance: isControl,
        limits: isControl
          ? { cpuShare: 0.675, cores: 2, memoryMb: 346, maxFds: 4096, linkMbps: 1000, diskMb: 128 }
          : { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
        dataDir: isControl ? join(home, 'data') : null,
        discovery: 'registry',
        entry: 'vip',
        heartbeatMs: 1500,
        contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'tenants', 'advice', 'upkeep', 'sharing'],
        faultTolerance: { machines: 1, zones: 0, regionCount: 0 },
        bounds: BOUNDS,
        config_mode: 'highest',
        orders: 'heartbeat',
        ...settings(prefix)
      })
      return process
    }
    const controls = await Promise.all(seeds.map((_, index) => create('control', 'core', index, `${prefix}.${11 + index}`)))
    const fronts = await Promise.all(Array.from({ length: frontCount }, (_, index) => create('entry', 'front', index, `${prefix}.${31 + index}`)))
    log(`started ${controls.length} control and ${fronts.length} front processes at ${prefix}.*`)
    return new Deployment({ prefix, folder, controls, fronts })
  }

  get controlUrls () { return this.controls.map(control => control.controlUrl) }

  get processes () { return [...this.controls, ...this.fronts] }

  async stop ({ keep = false } = {}) {
    await Promise.all(this.processes.map(async process => { await process.kill() }))
    if (!keep) await rm(this.folder, { recursive: true, force: true })
  }
}

/** YAML that is JSON line by line, which every YAML reader reads. */
function toYaml (settings) {
  return Object.entries(settings).map(([key, value]) => `${key}: ${JSON.stringify(value)}\n`).join('')
}
