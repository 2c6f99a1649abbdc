import test from 'ava'
import { drawArrival } from '../src/routing-load.js'
import { measure, type RequestTrace } from '../src/routing-measures.js'
import { RoutingWorld } from '../src/routing-simulation.js'
import { Random } from '@comfreygrade/core'

const counts = { dispatches: 1, crossRegionDispatches: 0, retries: 0, routerMs: 0, reports: 0, reportBytes: 0 }

function trace (overrides: Partial<RequestTrace>): RequestTrace {
  const arrival = { ...drawArrival(new Random(1)), repeatability: 'non-repeatable' as const }
  return { arrival, sentAtMs: 2_000, deadlineAtMs: 3_000, endedAtMs: 2_500, outcomes: 1, executions: 1, ...overrides }
}

test('the truth measure counts each kind of contradiction, so that a run without any proves something', t => {
  const violations = (overrides: Partial<RequestTrace>) => measure([trace(overrides)], counts).truthViolations
  t.is(violations({ outcome: 'success' }), 0)
  t.is(violations({ outcome: 'success', executions: 2 }), 1)
  t.is(violations({ outcome: 'success', outcomes: 2 }), 1)
  t.is(violations({ outcomes: 0 }), 1)
  t.is(violations({ outcome: 'deadline_exceeded', executions: 1 }), 1)
  t.is(violations({ outcome: 'outcome_unknown', executions: 1 }), 0)
})

test('a run with faults contradicts no answer and repeats with its seed, so that its figures can be checked', t => {
  const play = () => {
    const { routerMicrosPerRequest, ...measures } =
      new RoutingWorld({ seed: 3, deployment: 'kartli', size: 1, policy: 'locality' }).run()
    return measures
  }
  const measures = play()
  t.is(measures.truthViolations, 0)
  t.deepEqual(play(), measures)
})
