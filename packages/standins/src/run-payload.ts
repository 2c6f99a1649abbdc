/** Payloads of jobs whose tasks run on stand-in workers. */

/** What the payload says about the tasks of a job. */
export interface RunPayload {
  readonly durationMs: number
  /** Whether the tasks fail at their end. */
  readonly fails: boolean
  /** Number of members of the gang that the first step is; undefined where it is none. */
  readonly gangSize: number | undefined
  /** Share of the work after which a member of the gang fails in its first run; undefined where none does. */
  readonly breaksAfterShare: number | undefined
}

const PAYLOAD = /^(\d+)(!?)(?:g(\d+))?(?:b([\d.]+))?$/

/**
 * Reads a payload: the run time in milliseconds, then `!` where the tasks fail at their end, `g3` for a gang of three,
 * and `b0.4` where a member of it fails after 0.4 of the work.
 *
 * @example
 * readPayload('500!').fails // true
 */
export function readPayload (payload: string): RunPayload {
  const [, durationMs, failure, gangSize, share] = PAYLOAD.exec(payload) ?? []
  return {
    durationMs: Number(durationMs),
    fails: failure === '!',
    gangSize: gangSize === undefined ? undefined : Number(gangSize),
    breaksAfterShare: share === undefined ? undefined : Number(share)
  }
}
