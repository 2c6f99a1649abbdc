import test from 'ava'
import fc from 'fast-check'
import { BackendRegistry, type RequestRouter, type RoutingEffect, type RoutingEvent } from '../src/index.js'
import {
  checkers, FakeWorld, type CheckerName, type ClaimFate, type Fate, type Mutation, type RouterLike, type Scenario
} from './fake-world.js'

const SEED = 20261204
const RUNS = 2_000
const MUTATION_RUNS = 300

const fates: Fate[] = [
  'answer', 'answer_twice', 'answer_after_timeout', 'answer_after_loss', 'server_error', 'connect_failed', 'rejected',
  'rejected_then_timeout', 'lost_before_execution', 'lost_after_execution', 'executed_after_timeout', 'no_report'
]
const claimFates: ClaimFate[] = ['granted', 'granted_twice', 'granted_late', 'refused']

const scenarios: fc.Arbitrary<Scenario> = fc.record({
  requests: fc.array(fc.record({
    atMs: fc.integer({ min: 0, max: 2_000 }),
    repeatability: fc.constantFrom('idempotent' as const, 'non-repeatable' as const),
    hasKey: fc.boolean(),
    deadlineMs: fc.integer({ min: 1, max: 1_500 }),
    isCallerGone: fc.integer({ min: 0, max: 9 }).map(digit => digit === 0)
  }), { minLength: 1, maxLength: 40 }),
  fates: fc.array(fc.constantFrom(...fates), { minLength: 1, maxLength: 30 }),
  claimFates: fc.array(fc.constantFrom(...claimFates), { minLength: 1, maxLength: 10 }),
  leaveAtMs: fc.integer({ min: 0, max: 2_000 }),
  silentFromMs: fc.integer({ min: 0, max: 2_000 }),
  drainAtMs: fc.integer({ min: 500, max: 4_000 }),
  delaysMs: fc.array(fc.integer({ min: 0, max: 120 }), { minLength: 1, maxLength: 12 }),
  seed: fc.integer({ min: 1, max: 1_000_000 })
})

test('no answer contradicts what the backend servers really executed, whatever is lost, late, doubled or reordered', t => {
  fc.assert(fc.property(scenarios, scenario => {
    const record = new FakeWorld(scenario).run()
    for (const [name, check] of Object.entries(checkers)) {
      const found = check(record)
      if (found !== undefined) throw new Error(`${name} is contradicted by ${found}`)
    }
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

/** A router whose events or effects are altered on the way. */
function altered (
  onEvent: (event: RoutingEvent) => RoutingEvent, onEffect: (effect: RoutingEffect) => RoutingEffect[]
): Mutation {
  const wrap = (router: RequestRouter): RouterLike => ({
    handle: (event, nowMs) => router.handle(onEvent(event), nowMs).flatMap(onEffect),
    nextWakeAtMs: () => router.nextWakeAtMs(),
    get openRequests () { return router.openRequests }
  })
  return { wrap }
}

const keepEvent = (event: RoutingEvent) => event
const keepEffect = (effect: RoutingEffect) => [effect]

class EverServingRegistry extends BackendRegistry {
  override isServing (): boolean {
    return true
  }
}

const mutations: Record<CheckerName, Mutation> = {
  atMostOnce: altered(
    event => event.kind === 'attempt_failed' ? { ...event, progress: 'not_sent' } : event, keepEffect),
  notRunIsTrue: altered(keepEvent, effect => effect.kind === 'refuse' && effect.failure.kind === 'outcome_unknown'
    ? [{ ...effect, failure: { kind: 'deadline_exceeded', detail: 'mutation' } }]
    : [effect]),
  exactlyOneOutcome: altered(keepEvent, effect => effect.kind === 'answer' ? [effect, effect] : [effect]),
  answerIsOwn: altered(
    keepEvent, effect => effect.kind === 'answer' ? [{ ...effect, attempt: effect.attempt + 1 }] : [effect]),
  claimedBeforeDispatch: altered(event => {
    if (event.kind !== 'arrived') return event
    return { ...event, request: { ...event.request, idempotencyKey: undefined } }
  }, keepEffect),
  settledOnce: altered(keepEvent, effect => effect.kind === 'settle_claim' ? [effect, effect] : [effect]),
  settledTruly: altered(
    keepEvent, effect => effect.kind === 'settle_claim' ? [{ ...effect, outcome: 'not_run' }] : [effect]),
  onlyServing: { registry: () => new EverServingRegistry(400) },
  nothingLeftOpen: altered(
    event => event.kind === 'claim_decided' ? { kind: 'tick' } : event, keepEffect)
}

for (const [name, mutation] of Object.entries(mutations) as Array<[CheckerName, Mutation]>) {
  test(`the checker ${name} can fail: it catches a router that breaks this property`, t => {
    const result = fc.check(fc.property(scenarios, scenario =>
      checkers[name](new FakeWorld(scenario, mutation).run()) === undefined
    ), { seed: SEED, numRuns: MUTATION_RUNS, endOnFailure: true })
    t.true(result.failed)
    t.is((result.errorInstance as Error | null)?.message, 'Property failed by returning false')
  })
}
