/** Open-loop and closed-loop load generators for short requests, with latency measurement. */
import type { Random } from '@comfreygrade/core'
import { build, type Histogram } from 'hdr-histogram-js'
import { Agent, request } from 'undici'
import { pause, timeoutSignal } from '@comfreygrade/timers'

/** How a request ended: status below 400, any other status, or no response. */
export type LoadOutcome = 'answered' | 'refused' | 'failed'

/** Limits of a run, which ends when either is reached. */
export interface LoadLimits {
  readonly requests: number
  readonly durationMs: number
}

/** Receiver of the generated requests. */
export abstract class LoadTarget {
  /** Sends the request with this zero-based index and waits for its outcome. */
  abstract send (index: number): Promise<LoadOutcome>
  abstract close (): Promise<void>
}

/** Settings of {@link HttpLoadTarget}. */
export interface HttpTargetSettings {
  /** Used round-robin. */
  readonly urls: readonly string[]
  /** IDs, used round-robin. */
  readonly organisations: readonly string[]
  readonly body: Buffer
  /** Timeout at the client, also sent as the deadline. */
  readonly timeoutMs: number
  readonly connectionsPerUrl: number
}

/** Sends requests over HTTP with the same headers and body for entry nodes and backend servers. */
export class HttpLoadTarget extends LoadTarget {
  readonly #settings: HttpTargetSettings
  readonly #agent: Agent

  /**
   * @example
   * const target = new HttpLoadTarget({ urls: ['http://127.0.0.1:9000/charge'], organisations: ['o1'],
   *   body: Buffer.alloc(128), timeoutMs: 10_000, connectionsPerUrl: 64 })
   */
  constructor (settings: HttpTargetSettings) {
    super()
    this.#settings = settings
    this.#agent = new Agent({ connections: settings.connectionsPerUrl })
  }

  override async send (index: number): Promise<LoadOutcome> {
    const { urls, organisations, body, timeoutMs } = this.#settings
    try {
      const response = await request(urls[index % urls.length] ?? '', {
        method: 'POST',
        headers: {
          'content-type': 'application/octet-stream',
          'comfreygrade-organisation': organisations[index % organisations.length] ?? '',
          'comfreygrade-repeatable': 'idempotent',
          'comfreygrade-deadline-ms': String(timeoutMs)
        },
        body,
        dispatcher: this.#agent,
        signal: timeoutSignal(timeoutMs)
      })
      await response.body.dump()
      return response.statusCode < 400 ? 'answered' : 'refused'
    } catch {
      return 'failed'
    }
  }

  override async close (): Promise<void> {
    await this.#agent.destroy()
  }
}

/** Request counts and latency histogram of one target. */
export class LoadMeasurement {
  readonly counts: Record<LoadOutcome, number> = { answered: 0, refused: 0, failed: 0 }
  readonly #latencyUs: Histogram = build({ numberOfSignificantValueDigits: 3 })
  #elapsedMs = 0

  /** Records a request. Only answered requests enter the latency histogram. */
  record (outcome: LoadOutcome, latencyMs: number): void {
    this.counts[outcome]++
    if (outcome === 'answered') this.#latencyUs.recordValue(Math.max(1, Math.round(latencyMs * 1_000)))
  }

  /** Adds the duration of a run, from which the throughput is computed. */
  addElapsed (elapsedMs: number): void {
    this.#elapsedMs += elapsedMs
  }

  get answeredPerSecond (): number {
    return this.#elapsedMs === 0 ? 0 : this.counts.answered / this.#elapsedMs * 1_000
  }

  /** Latency in milliseconds at a percentile from 0 to 100. */
  latencyPercentileMs (percentile: number): number {
    return this.#latencyUs.getValueAtPercentile(percentile) / 1_000
  }
}

/** Decides when requests are sent. */
export abstract class LoadPattern {
  /** Sends requests until a limit is reached, then waits for all outstanding responses. */
  async run (target: LoadTarget, limits: LoadLimits, measurement: LoadMeasurement): Promise<void> {
    const startedMs = performance.now()
    await this.sendAll(target, { requests: limits.requests, endsMs: startedMs + limits.durationMs }, measurement)
    measurement.addElapsed(performance.now() - startedMs)
  }

  protected abstract sendAll (
    target: LoadTarget, limits: { requests: number, endsMs: number }, measurement: LoadMeasurement
  ): Promise<void>
}

/**
 * A fixed number of callers, each of which sends its next request after the previous one has ended.
 *
 * @example
 * await new ClosedLoop(16).run(target, { requests: 1_000, durationMs: 10_000 }, measurement)
 */
export class ClosedLoop extends LoadPattern {
  readonly #callers: number

  constructor (callers: number) {
    super()
    this.#callers = callers
  }

  protected override async sendAll (
    target: LoadTarget, { requests, endsMs }: { requests: number, endsMs: number }, measurement: LoadMeasurement
  ): Promise<void> {
    let next = 0
    const runCaller = async () => {
      while (next < requests && performance.now() < endsMs) {
        await sendAndRecord(target, next++, performance.now(), measurement)
      }
    }
    await Promise.all(Array.from({ length: this.#callers }, runCaller))
  }
}

/**
 * Sends requests as a Poisson process, independently of earlier responses. Latency is measured from the planned send
 * time, so a slow system cannot hide the requests that it delays (coordinated omission).
 *
 * @example
 * await new OpenLoop(500, new Random(1)).run(target, { requests: 1_000, durationMs: 10_000 }, measurement)
 */
export class OpenLoop extends LoadPattern {
  readonly #ratePerSecond: number
  readonly #random: Random

  constructor (ratePerSecond: number, random: Random) {
    super()
    this.#ratePerSecond = ratePerSecond
    this.#random = random
  }

  protected override async sendAll (
    target: LoadTarget, { requests, endsMs }: { requests: number, endsMs: number }, measurement: LoadMeasurement
  ): Promise<void> {
    const sent: Array<Promise<void>> = []
    let plannedMs = performance.now()
    for (let index = 0; index < requests; index++) {
      plannedMs += this.#drawInterarrivalMs()
      if (plannedMs >= endsMs) break
      await sleepUntil(plannedMs)
      sent.push(sendAndRecord(target, index, plannedMs, measurement))
    }
    await Promise.all(sent)
  }

  #drawInterarrivalMs (): number {
    return -Math.log(1 - this.#random.nextFloat()) * 1_000 / this.#ratePerSecond
  }
}

async function sendAndRecord (
  target: LoadTarget, index: number, startMs: number, measurement: LoadMeasurement
): Promise<void> {
  const outcome = await target.send(index)
  measurement.record(outcome, performance.now() - startMs)
}

/** Returns at once for waits below the timer resolution of one millisecond, so such requests are sent together. */
async function sleepUntil (atMs: number): Promise<void> {
  const waitMs = atMs - performance.now()
  if (waitMs >= 1) await pause(waitMs)
}
