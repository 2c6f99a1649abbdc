/** Starts and stops a node as a child process, for demos and failure tests. */
import { type ChildProcess, spawn } from 'node:child_process'
import { createInterface } from 'node:readline'
import { startTimer } from '@comfreygrade/timers'

/** Latest log lines kept to explain a failure. */
const MAX_LOG_LINES = 20

/** Exit code of a process, or the signal that ended it. */
export interface ProcessExit {
  readonly code: number | null
  readonly signal: string | null
}

/** Runs a Node.js script that logs to stderr and, once ready, prints a JSON line that contains `ready` to stdout. */
export class NodeProcess {
  readonly name: string
  readonly #child: ChildProcess
  readonly #logLines: string[] = []
  readonly #ready: Promise<void>
  readonly #exited: Promise<ProcessExit>

  /**
   * @example
   * const process = new NodeProcess('montevideo-1', 'packages/node/dist/main.js', ['--settings', file])
   * await process.stop(15_000)
   */
  constructor (name: string, script: string, argv: readonly string[]) {
    this.name = name
    this.#child = spawn(process.execPath, [script, ...argv], { stdio: ['ignore', 'pipe', 'pipe'] })
    this.#exited = new Promise(resolve => this.#child.once('close', (code, signal) => resolve({ code, signal })))
    this.#ready = this.#readOutput()
    // Without this, the early exit of a process would be an unhandled rejection if nobody waits for its ready line.
    this.#ready.catch(() => {})
  }

  get pid (): number {
    return this.#child.pid ?? 0
  }

  /** Latest log lines, oldest first. */
  get logLines (): readonly string[] {
    return this.#logLines
  }

  /** Resolves once the process has printed its ready line; rejects if it exits before or `timeoutMs` elapses. */
  async waitUntilReady (timeoutMs: number): Promise<void> {
    await withTimeout(this.#ready, timeoutMs, `${this.name} was not ready after ${timeoutMs} ms`)
  }

  /** Sends SIGTERM and waits for the exit; after `timeoutMs` the process is killed and the promise rejects. */
  async stop (timeoutMs: number): Promise<ProcessExit> {
    this.#child.kill('SIGTERM')
    try {
      return await withTimeout(this.#exited, timeoutMs, `${this.name} did not end within ${timeoutMs} ms`)
    } catch (error) {
      await this.kill()
      throw error
    }
  }

  /** Kills the process with SIGKILL, which simulates a VM failure. */
  async kill (): Promise<ProcessExit> {
    this.#child.kill('SIGKILL')
    return await this.#exited
  }

  async #readOutput (): Promise<void> {
    const { stdout, stderr } = this.#child
    if (stdout === null || stderr === null) throw new Error(`${this.name}: stdout or stderr is not piped`)
    createInterface({ input: stderr }).on('line', line => this.#appendLogLine(line))
    await new Promise<void>((resolve, reject) => {
      createInterface({ input: stdout }).on('line', line => { if (isReadyLine(line)) resolve() })
      const rejectOnExit = ({ code, signal }: ProcessExit) => {
        reject(new Error(`${this.name} ended with code ${code} and signal ${signal} before it was ready`))
      }
      this.#exited.then(rejectOnExit, reject)
    })
  }

  #appendLogLine (line: string): void {
    this.#logLines.push(line)
    if (this.#logLines.length > MAX_LOG_LINES) this.#logLines.shift()
  }
}

/** Whether a line is JSON that contains the text `ready` anywhere, such as `{"event":"ready"}`; `already` matches. */
function isReadyLine (line: string): boolean {
  try {
    return JSON.stringify(JSON.parse(line)).includes('ready')
  } catch {
    return false
  }
}

async function withTimeout<T> (promise: Promise<T>, timeoutMs: number, message: string): Promise<T> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<never>((_resolve, reject) => {
    timer = startTimer(timeoutMs, () => reject(new Error(message)))
  })
  try {
    return await Promise.race([promise, timeout])
  } finally {
    clearTimeout(timer)
  }
}
