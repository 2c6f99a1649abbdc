/** Frame of a case: its record, the operator and a client, the time limit, and the result as exit code. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { Deployment, killAll } from './deployment.mjs'
import { call } from './http.mjs'
import { Runner } from './runner.mjs'

export const HOST = 'desk.example'
const KEY = 'key-of-the-first-tenant'
const SERVICE = 'svc-desk'
const TIME_LIMIT_MS = 115_000
const MAX_NOTED_UNANSWERED = 40

export const pause = async ms => { await new Promise(resolve => { setTimeout(resolve, ms) }) }

let idCount = 0
/** A job's ID: 16 hexadecimal digits. */
export function newId () {
  return (BigInt(Date.now()) * 65_536n + BigInt(++idCount)).toString(16).padStart(16, '0').slice(-16)
}

export class Case {
  constructor (folder) {
    this.folder = folder
    this.lines = []
    this.startedMs = performance.now()
    this.withTrouble = process.env.TROUBLE !== '0'
    this.runners = []
    /** What a work unit needs, by the ID of its job. */
    this.needs = new Map()
    this.unanswered = 0
  }

  note (text) {
    const line = `${((performance.now() - this.startedMs) / 1000).toFixed(2).padStart(7)} ${text}`
    this.lines.push(line)
    if (process.env.VERBOSE === '1') console.log(line)
  }

  /** Runs the body and exits with 0 where the rule held, 1 where it was broken and 2 where the case could not run. */
  async run (options, body) {
    let code = 2
    const timer = setTimeout(() => { this.#finish(2, 'within the time limit') }, TIME_LIMIT_MS)
    for (const event of ['uncaughtException', 'unhandledRejection']) {
      process.on(event, error => {
        this.note(`unexpected error of the case: ${error.stack}`)
        this.#finish(2)
      })
    }
    for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { this.#finish(2, 'to its end') })
    try {
      this.deployment = await Deployment.start({
        ...options,
        log: text => { this.note(text) },
        onEnd: (process, exitCode, signal) => { this.note(`PROCESS END ${process.name} code=${exitCode} signal=${signal}`) }
      })
      code = await body(this) ? 1 : 0
    } catch (error) {
      this.note(`case could not run: ${error.stack}`)
    }
    clearTimeout(timer)
    await this.#finish(code)
  }

  async #finish (code, reason = '') {
    if (this.isFinished) return
    this.isFinished = true
    this.note(`result ${code} ${['the rule held', 'the rule was broken', `the case could not run ${reason}`][code]}`)
    for (const runner of this.runners) runner.isUp = false
    await this.deployment?.stop({ keep: process.env.KEEP === '1' })
    killAll()
    if (process.env.KEEP === '1') console.log(this.deployment?.folder)
    writeFileSync(join(this.folder, 'record.txt'), `${this.lines.join('\n')}\n`)
    process.exit(code)
  }

  manifest (version, { routes, ...fields } = {}) {
    return {
      version,
      routes: (routes ?? [{ pathPrefix: '/q/' }]).map((route, index) => ({
        name: `r-${index + 1}`,
        host: HOST,
        kind: 'unsafe',
        timeoutMs: 3000,
        targetLatencyMs: 2000,
        priority: 1,
        service: SERVICE,
        maxAttempts: 3,
        slackFactor: 3,
        anonymous: false,
        ...route
      })),
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
      tenants: [{ name: 'first', apiKeys: [KEY], priority: 1, guaranteed: { gpu: 8 } }],
      ...fields
    }
  }

  /**
   * Starts runners of 64 cores, 256 GB and 8 GPUs, which note what they start and how it ends. `durationMs` as of
   * `Runner`.
   */
  addRunners (count, options = {}) {
    for (let index = 0; index < count; index++) {
      const id = `i-${this.runners.length}`
      const runner = new Runner({
        id,
        service: SERVICE,
        address: `${this.deployment.prefix}.${100 + this.runners.length}:8080`,
        controls: this.deployment.controlUrls,
        needOf: unit => this.needs.get(unit.split('.')[0]) ?? {},
        onEvent: (kind, fields) => { this.#noteRunnerEvent(id, kind, fields) },
        ...options
      })
      this.runners.push(runner)
      runner.start()
    }
  }

  #noteRunnerEvent (id, kind, fields) {
    if (kind === 'unanswered' && ++this.unanswered > MAX_NOTED_UNANSWERED) return
    const words = Object.entries(fields).filter(([, value]) => value !== undefined && value !== '')
      .map(([key, value]) => `${key}=${value}`)
    this.note(`runner ${id} ${kind} ${words.join(' ')}`)
    this.onRunnerEvent?.(id, kind, fields)
  }

  /** Whether a work unit of a job runs on any runner. */
  isRunning (jobId) {
    return this.runners.some(runner => runner.isUp &&
      [...runner.running.keys()].some(unit => unit.startsWith(`${jobId}.`)))
  }

  /** Share of the runners' capacity in use, of the resource that is used most. */
  usedShare () {
    const up = this.runners.filter(runner => runner.isUp)
    return Math.max(...['cpu', 'memMb', 'gpu'].map(key =>
      up.reduce((sum, { used }) => sum + used[key], 0) / up.reduce((sum, { capacity }) => sum + capacity[key], 0)))
  }

  /** Sends a manifest until it is acknowledged; resolves to the time of the acknowledgement. */
  async configure (manifest, { limitMs = 20_000 } = {}) {
    const text = JSON.stringify(manifest)
    const untilMs = performance.now() + limitMs
    for (let attempt = 0; performance.now() < untilMs; attempt++) {
      const url = this.deployment.controlUrls[attempt % this.deployment.controls.length]
      const { status } = await call('PUT', `${url}/api/config`, { body: text })
      if (status === 200) {
        this.note(`manifest ${manifest.version} acknowledged`)
        return performance.now()
      }
      await pause(200)
    }
    throw new Error(`manifest ${manifest.version} was not acknowledged`)
  }

  /** One request of a client. */
  async client (method, path, { body, timeoutMs = 3_000, front = 0, headers = {} } = {}) {
    const url = `${this.deployment.fronts[front % this.deployment.fronts.length].frontUrl}${path}`
    return await call(method, url, {
      body,
      timeoutMs,
      headers: { host: HOST, 'x-api-key': KEY, 'x-comfreygrade-deadline-ms': String(timeoutMs), ...headers }
    })
  }

  /** Submits a job as a client does, again where there is no clear answer; resolves to the last status. */
  async submit (path, body, { attempts = 5, key = KEY } = {}) {
    let answer
    for (let attempt = 0; attempt < attempts; attempt++) {
      answer = await this.client('POST', path, { body, front: attempt, headers: { 'x-api-key': key } })
      if (![0, 502, 504].includes(answer.status)) break
      await pause(200)
    }
    this.note(`POST ${path} -> ${answer.status}${answer.status === 200 ? '' : ` ${answer.error ?? JSON.stringify(answer.body)}`}`)
    return answer.status
  }
}
