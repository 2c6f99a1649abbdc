/** A process that the demo and failure tests start and end by its ID. */
import { type ChildProcess, spawn } from 'node:child_process'
import { createInterface } from 'node:readline'

/** Log lines kept for the report of a failure. */
const KEPT_LOG_LINES = 20

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null
  readonly signal: string | null
}

/** Runs a Node.js script that prints a JSON line with `ready` on stdout and logs on stderr. */
export class NodeProcess {
  readonly name: string
  readonly #child: ChildProcess
  readonly #logLines: string[] = []
  readonly #ready: Promise<void>
  readonly #ended: Promise<ProcessEnd>

  /**
   * @example
   * const process = new NodeProcess('montevideo-1', 'packages/node/dist/main.js', ['--settings', file])
   * await process.ready(20_000)
   * await process.stop(15_000)
   */
  constructor (name: string, script: string, argv: readonly string[]) {
    this.name = name
    this.#child = spawn(process.execPath, [script, ...argv], { stdio: ['ignore', 'pipe', 'pipe'] })
    this.#ended = new Promise(resolve => this.#child.once('close', (code, signal) => resolve({ code, signal })))
    this.#ready = this.#readOutput()
    // A process that ends before it is ready is reported by `ready`; without a waiter it is no error.
    this.#ready.catch(() => {})
  }

  /** Process ID. */
  get pid (): number {
    return this.#child.pid ?? 0
  }

  /** Latest log lines, oldest first. */
  get logLines (): readonly string[] {
    return this.#logLines
  }

  /** Resolves once the process has printed its ready line; rejects where it ends or `limitMs` passes before. */
  async ready (limitMs: number): Promise<void> {
    await withinLimit(this.#ready, limitMs, `${this.name} was not ready after ${limitMs} ms`)
  }

  /** Asks the process to end and waits; after `limitMs` it is killed and the promise rejects. */
  async stop (limitMs: number): Promise<ProcessEnd> {
    this.#child.kill('SIGTERM')
    try {
      return await withinLimit(this.#ended, limitMs, `${this.name} did not end within ${limitMs} ms`)
    } catch (error) {
      await this.kill()
      throw error
    }
  }

  /** Kills the process, as a VM that fails does. */
  async kill (): Promise<ProcessEnd> {
    this.#child.kill('SIGKILL')
    return await this.#ended
  }

  async #readOutput (): Promise<void> {
    const { stdout, stderr } = this.#child
    if (stdout === null || stderr === null) throw new Error(`${this.name} has no output`)
    createInterface({ input: stderr }).on('line', line => this.#keep(line))
    await new Promise<void>((resolve, reject) => {
      createInterface({ input: stdout }).on('line', line => { if (isReadyLine(line)) resolve() })
      const fail = ({ code, signal }: ProcessEnd) => {
        reject(new Error(`${this.name} ended with code ${code} and signal ${signal} before it was ready`))
      }
      this.#ended.then(fail, reject)
    })
  }

  #keep (line: string): void {
    this.#logLines.push(line)
    if (this.#logLines.length > KEPT_LOG_LINES) this.#logLines.shift()
  }
}

function isReadyLine (line: string): boolean {
  try {
    return JSON.stringify(JSON.parse(line)).includes('ready')
  } catch {
    return false
  }
}

async function withinLimit<T> (promise: Promise<T>, limitMs: number, message: string): Promise<T> {
  let timer: NodeJS.Timeout | undefined
  const limit = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => reject(new Error(message)), limitMs)
  })
  try {
    return await Promise.race([promise, limit])
  } finally {
    clearTimeout(timer)
  }
}
