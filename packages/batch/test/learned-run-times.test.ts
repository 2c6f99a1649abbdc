import test from 'ava'
import { ManualClock, Random } from '@comfreygrade/core'
import { createJobRecord, type JobRecord } from '../src/job-record.js'
import { LearnedRunTimes } from '../src/learned-run-times.js'
import { ObservedRunTimes } from '../src/observed-run-times.js'
import { job, step } from './sample-data.js'

const MEAN_RUN_MS = 4_000
const TASK_COUNT = 4
/** Jobs of a stream that are submitted before errors are compared. */
const LEARNING_JOBS = 60
const COMPARED_JOBS = 200

/** A job that a caller submits, with the true mean run time of its tasks. */
interface StreamJob {
  readonly record: JobRecord
  readonly runMs: number
}

/** Draws the jobs of one test, each with tasks that differ somewhat in their run time. */
class Stream {
  readonly clock = new ManualClock(0, 0)
  readonly runTimes = new LearnedRunTimes(this.clock)
  readonly #random = new Random(7)

  uniform (range: number): number {
    return (this.#random.nextFloat() * 2 - 1) * range
  }

  /** A run time around the mean, and for this share of the jobs one of seven times as much. */
  drawRunMs (meanMs = MEAN_RUN_MS, tailShare = 0): number {
    return meanMs * Math.exp(this.uniform(0.5)) * (this.#random.nextFloat() < tailShare ? 7 : 1)
  }

  job (runMs: number, estimateMs: number, organisation = 'a'): StreamJob {
    const spec = job('j', [step({ taskCount: TASK_COUNT, estimateMs })])
    const fields = { spec, queueAddress: 'q', service: 's', organisation, acceptedWallMs: 0 }
    return { record: createJobRecord(fields), runMs }
  }

  predictedMs ({ record }: StreamJob): number {
    return this.runTimes.predict(record, 0).typicalMs
  }

  finish ({ record, runMs }: StreamJob): void {
    this.clock.advance(250)
    for (let task = 0; task < TASK_COUNT; task++) {
      const taskMs = runMs * Math.exp(this.uniform(0.3))
      this.runTimes.learn({ job: record, stepIndex: 0, runMs: taskMs, kind: 'finished' })
    }
  }

  /** Mean errors of the predictions and of the estimates, as logarithms of ratios; a perfect forecast has none. */
  compare (nextJob: () => StreamJob, learningJobs = LEARNING_JOBS): { learned: number, caller: number } {
    for (let count = 0; count < learningJobs; count++) this.finish(nextJob())
    let learned = 0
    let caller = 0
    for (let count = 0; count < COMPARED_JOBS; count++) {
      const next = nextJob()
      learned += Math.abs(Math.log(this.predictedMs(next) / next.runMs)) / COMPARED_JOBS
      caller += Math.abs(Math.log((next.record.spec.steps[0]?.estimateMs ?? 0) / next.runMs)) / COMPARED_JOBS
      this.finish(next)
    }
    return { learned, caller }
  }
}

test('a cold start predicts the estimate of the caller, and one step does not decide alone', t => {
  const stream = new Stream()
  const first = stream.job(MEAN_RUN_MS, 2_000)
  const atFirst = { typicalMs: 2_000, objectiveMs: 2_000, highMs: 2_000, sampleCount: 0 }
  t.deepEqual(stream.runTimes.predict(first.record, 0), atFirst)
  stream.finish(first)
  const { typicalMs, sampleCount } = stream.runTimes.predict(first.record, 0)
  t.true(typicalMs > 2_000 && typicalMs < 3_200, `${typicalMs}`)
  t.true(sampleCount > 0 && sampleCount <= 1.01, `${sampleCount}`)
})

test('a systematic error of the estimates is corrected', t => {
  const stream = new Stream()
  const { learned, caller } = stream.compare(() => {
    const runMs = stream.drawRunMs()
    return stream.job(runMs, runMs * 3 * Math.exp(stream.uniform(0.2)))
  })
  t.true(learned < 0.25 && caller > 1, `${learned} ${caller}`)
  const { record } = stream.job(MEAN_RUN_MS, MEAN_RUN_MS * 3)
  t.is(stream.runTimes.predict(record, 0).objectiveMs, MEAN_RUN_MS * 3, 'the objective is never made earlier')
})

test('estimates that are wrong by up to a factor of 2.5 are corrected towards the usual run times', t => {
  const stream = new Stream()
  const { learned, caller } = stream.compare(() => {
    const runMs = stream.drawRunMs()
    return stream.job(runMs, runMs * Math.exp(stream.uniform(0.9)))
  })
  t.true(learned < caller * 0.7, `${learned} ${caller}`)
})

test('nearly right estimates stay nearly right', t => {
  const stream = new Stream()
  const { learned, caller } = stream.compare(() => {
    const runMs = stream.drawRunMs()
    return stream.job(runMs, runMs * Math.exp(stream.uniform(0.2)))
  })
  t.true(learned < caller * 1.2, `${learned} ${caller}`)
})

test('a long job of the tail is not taken for a wrong estimate', t => {
  const stream = new Stream()
  stream.compare(() => {
    const runMs = stream.drawRunMs(MEAN_RUN_MS, 0.03)
    return stream.job(runMs, runMs * Math.exp(stream.uniform(0.5)))
  })
  const long = stream.job(MEAN_RUN_MS * 7, MEAN_RUN_MS * 7)
  t.true(stream.predictedMs(long) > MEAN_RUN_MS * 4, `${stream.predictedMs(long)}`)
})

test('the high quantile covers most runs, and little more than most', t => {
  const stream = new Stream()
  let covered = 0
  const next = (): StreamJob => {
    const runMs = stream.drawRunMs()
    return stream.job(runMs, runMs * Math.exp(stream.uniform(0.9)))
  }
  stream.compare(next)
  for (let count = 0; count < COMPARED_JOBS; count++) {
    const drawn = next()
    if (drawn.runMs <= stream.runTimes.predict(drawn.record, 0).highMs) covered++
    stream.finish(drawn)
  }
  const share = covered / COMPARED_JOBS
  t.true(share > 0.8 && share < 0.99, `${share}`)
})

test('a change of behaviour partway through and a drift are followed', t => {
  const stream = new Stream()
  stream.compare(() => stream.job(MEAN_RUN_MS, MEAN_RUN_MS))
  const changed = stream.compare(() => stream.job(MEAN_RUN_MS * 4, MEAN_RUN_MS), 150)
  t.true(changed.learned < 0.35 && changed.caller > 1.3, JSON.stringify(changed))
  let factor = 4
  const drifting = stream.compare(() => stream.job(MEAN_RUN_MS * (factor *= 1.003), MEAN_RUN_MS))
  t.true(drifting.learned < drifting.caller * 0.3, JSON.stringify(drifting))
})

test('samples lose their weight with age', t => {
  const stream = new Stream()
  stream.compare(() => stream.job(MEAN_RUN_MS * 4, MEAN_RUN_MS))
  stream.clock.advance(3_600_000)
  stream.compare(() => stream.job(MEAN_RUN_MS, MEAN_RUN_MS), 20)
  const predictedMs = stream.predictedMs(stream.job(MEAN_RUN_MS, MEAN_RUN_MS))
  t.true(predictedMs < MEAN_RUN_MS * 1.2, `${predictedMs}`)
})

test('a caller gains nothing by estimates that are a tenth of the run time, always or now and then', t => {
  const stream = new Stream()
  let count = 0
  const nextHonest = (): StreamJob => {
    const runMs = stream.drawRunMs()
    return stream.job(runMs, runMs * Math.exp(stream.uniform(0.2)), 'honest')
  }
  const nextLiar = (): StreamJob => {
    const runMs = stream.drawRunMs()
    return stream.job(runMs, runMs / 10, 'liar')
  }
  const nextOccasional = (): StreamJob => {
    const runMs = stream.drawRunMs()
    return stream.job(runMs, count % 3 === 0 ? runMs / 10 : runMs, 'occasional')
  }
  stream.compare(() => [nextHonest, nextLiar, nextOccasional][count++ % 3]?.() ?? nextHonest(), 300)
  const ratioOf = (organisation: string, estimateMs: number): number =>
    stream.predictedMs(stream.job(MEAN_RUN_MS, estimateMs, organisation)) / MEAN_RUN_MS
  t.true(ratioOf('liar', MEAN_RUN_MS / 10) > 0.8, `${ratioOf('liar', MEAN_RUN_MS / 10)}`)
  t.true(ratioOf('occasional', MEAN_RUN_MS / 10) > 0.6, `${ratioOf('occasional', MEAN_RUN_MS / 10)}`)
  const { objectiveMs } = stream.runTimes.predict(stream.job(MEAN_RUN_MS, MEAN_RUN_MS / 10, 'liar').record, 0)
  t.true(objectiveMs > MEAN_RUN_MS * 0.8, `order of a caller whose estimates are always false: ${objectiveMs}`)
  const honest = ratioOf('honest', MEAN_RUN_MS)
  t.true(honest > 0.75 && honest < 1.35, `an honest caller must not pay for the others: ${honest}`)
})

test('a run that was cut short counts only where it ran for longer than the typical time', t => {
  const stream = new Stream()
  const next = (): StreamJob => stream.job(MEAN_RUN_MS, MEAN_RUN_MS)
  stream.compare(next)
  const before = stream.predictedMs(next())
  const cutShort = (runMs: number): number => {
    const { record } = next()
    for (let count = 0; count < 400; count++) {
      stream.runTimes.learn({ job: record, stepIndex: 0, runMs, kind: 'cut_short' })
    }
    return stream.predictedMs(next())
  }
  t.is(cutShort(MEAN_RUN_MS / 2), before)
  t.true(cutShort(MEAN_RUN_MS * 3) > MEAN_RUN_MS * 1.5)
})

test('the prediction of a step is kept until the next sample of its queue', t => {
  const stream = new Stream()
  const waiting = stream.job(MEAN_RUN_MS, MEAN_RUN_MS)
  stream.finish(stream.job(MEAN_RUN_MS * 2, MEAN_RUN_MS))
  const known = stream.runTimes.predict(waiting.record, 0)
  t.is(stream.runTimes.predict(waiting.record, 0), known)
  stream.finish(stream.job(MEAN_RUN_MS * 2, MEAN_RUN_MS))
  t.true(stream.predictedMs(waiting) > known.typicalMs)
})

test('many images of one caller do not make others lose what was learned', t => {
  const stream = new Stream()
  stream.compare(() => stream.job(MEAN_RUN_MS * 4, MEAN_RUN_MS))
  const expected = stream.predictedMs(stream.job(MEAN_RUN_MS, MEAN_RUN_MS))
  for (let index = 0; index < 5_000; index++) {
    const spec = job('j', [step({ image: `image-${index}` })])
    const fields = { spec, queueAddress: 'q', service: 's', organisation: 'other', acceptedWallMs: 0 }
    stream.runTimes.predict(createJobRecord(fields), 0)
  }
  t.true(Math.abs(Math.log(stream.predictedMs(stream.job(MEAN_RUN_MS, MEAN_RUN_MS)) / expected)) < 0.3)
})

test('the order keeps the differences between estimates, but not far below the usual ones', t => {
  const stream = new Stream()
  stream.compare(() => {
    const runMs = stream.drawRunMs()
    return stream.job(runMs, runMs / 2 * Math.exp(stream.uniform(0.9)))
  })
  const objectiveMsOf = (estimateMs: number): number =>
    stream.runTimes.predict(stream.job(0, estimateMs).record, 0).objectiveMs
  const usualMs = objectiveMsOf(MEAN_RUN_MS / 2)
  t.true(Math.abs(Math.log(usualMs / MEAN_RUN_MS)) < 0.2, `${usualMs}`)
  t.true(Math.abs(Math.log(objectiveMsOf(MEAN_RUN_MS * 0.75) / usualMs) - Math.log(1.5)) < 0.01)
  t.true(objectiveMsOf(MEAN_RUN_MS / 100) > usualMs / 4, `${objectiveMsOf(MEAN_RUN_MS / 100)}`)
})

test('run times that are only observed are learned and reported, and decisions go by the estimates', t => {
  const stream = new Stream()
  const observed = new ObservedRunTimes(stream.runTimes)
  const { record } = stream.job(MEAN_RUN_MS, MEAN_RUN_MS)
  for (let count = 0; count < 50; count++) {
    observed.learn({ job: record, stepIndex: 0, runMs: MEAN_RUN_MS * 3, kind: 'finished' })
  }
  t.is(observed.predict(record, 0).highMs, MEAN_RUN_MS)
  t.true(observed.forecast(record, 0).typicalMs > MEAN_RUN_MS * 2)
})
