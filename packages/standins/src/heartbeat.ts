/** Sends heartbeats periodically, never two concurrently. */
import { startTimer } from '@comfreygrade/timers'

/**
 * Calls `send` at once, then again `intervalMs()` after each call has completed.
 *
 * @example
 * const heartbeat = new Heartbeat(async () => { await sendReport() }, () => 1_000)
 * heartbeat.start()
 * await heartbeat.stop()
 */
export class Heartbeat {
  readonly #send: () => Promise<void>
  readonly #intervalMs: () => number
  #timer: NodeJS.Timeout | undefined
  #sending: Promise<void> | undefined
  #isRunning = false
  #isSendRequested = false

  constructor (send: () => Promise<void>, intervalMs: () => number) {
    this.#send = send
    this.#intervalMs = intervalMs
  }

  /** Starts the heartbeats with an immediate one. */
  start (): void {
    this.#isRunning = true
    this.sendNow()
  }

  /** Sends without waiting for the interval, or directly after a send in progress. */
  sendNow (): void {
    if (!this.#isRunning) return
    this.#isSendRequested = true
    if (this.#sending !== undefined) return
    clearTimeout(this.#timer)
    this.#sending = this.#run()
  }

  /** Stops the heartbeats; resolves once a send in progress has completed, so that nothing is sent afterwards. */
  async stop (): Promise<void> {
    this.#isRunning = false
    clearTimeout(this.#timer)
    await this.#sending
  }

  async #run (): Promise<void> {
    while (this.#isSendRequested && this.#isRunning) {
      this.#isSendRequested = false
      await this.#send()
    }
    this.#sending = undefined
    if (this.#isRunning) this.#timer = startTimer(this.#intervalMs(), () => this.sendNow())
  }
}
