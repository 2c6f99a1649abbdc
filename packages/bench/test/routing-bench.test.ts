import test from 'ava'
import { drawArrival } from '../src/routing-load.js'
import { computeMeasures, type RequestTrace } from '../src/routing-measures.js'
import { RoutingSimulation } from '../src/routing-simulation.js'
import { Random } from '@comfreygrade/core'

const counts = { dispatches: 1, crossRegionDispatches: 0, retries: 0, routerMs: 0, reports: 0, reportBytes: 0 }

function trace (overrides: Partial<RequestTrace>): RequestTrace {
  const arrival = { ...drawArrival(new Random(1)), repeatability: 'non-repeatable' as const }
  return {
    arrival, sentAtMs: 2_000, deadlineAtMs: 3_000, endedAtMs: 2_500, outcomeCount: 1, executionCount: 1, ...overrides
  }
}

test('truthViolations counts each kind of contradiction between a reported outcome and the executions', t => {
  const violations = (overrides: Partial<RequestTrace>) => computeMeasures([trace(overrides)], counts).truthViolations
  t.is(violations({ outcome: 'success' }), 0)
  t.is(violations({ outcome: 'success', executionCount: 2 }), 1)
  t.is(violations({ outcome: 'success', outcomeCount: 2 }), 1)
  t.is(violations({ outcomeCount: 0 }), 1)
  t.is(violations({ outcome: 'deadline_exceeded', executionCount: 1 }), 1)
  t.is(violations({ outcome: 'outcome_unknown', executionCount: 1 }), 0)
})

test('a routing simulation with faults has no truth violations and repeats exactly with the same seed', t => {
  const runOnce = () => {
    const { routerMicrosPerRequest, ...measures } =
      new RoutingSimulation({ seed: 3, deployment: 'kartli', size: 1, policy: 'locality' }).run()
    return measures
  }
  const measures = runOnce()
  t.is(measures.truthViolations, 0)
  t.deepEqual(runOnce(), measures)
})
