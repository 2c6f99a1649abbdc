import test from 'ava'
import fc from 'fast-check'
import { BackendRegistry, type RequestRouter, type RoutingEffect, type RoutingEvent } from '../src/index.js'
import {
  invariants, RouterSimulation, type AttemptBehaviour, type ClaimBehaviour, type InvariantName, type Mutation,
  type RouterLike, type Scenario
} from './router-simulation.js'

const SEED = 20261204
const RUNS = 2_000
const MUTATION_RUNS = 300

const attemptBehaviours: AttemptBehaviour[] = [
  'answer', 'answer_twice', 'answer_after_timeout', 'answer_after_loss', 'server_error', 'connect_failed', 'rejected',
  'rejected_then_timeout', 'lost_before_execution', 'lost_after_execution', 'executed_after_timeout', 'no_report'
]
const claimBehaviours: ClaimBehaviour[] = ['granted', 'granted_twice', 'granted_late', 'refused']

const scenarios: fc.Arbitrary<Scenario> = fc.record({
  requests: fc.array(fc.record({
    atMs: fc.integer({ min: 0, max: 2_000 }),
    repeatability: fc.constantFrom('idempotent' as const, 'non-repeatable' as const),
    hasKey: fc.boolean(),
    deadlineMs: fc.integer({ min: 1, max: 1_500 }),
    isCallerDisconnected: fc.integer({ min: 0, max: 9 }).map(draw => draw === 0)
  }), { minLength: 1, maxLength: 40 }),
  attemptBehaviours: fc.array(fc.constantFrom(...attemptBehaviours), { minLength: 1, maxLength: 30 }),
  claimBehaviours: fc.array(fc.constantFrom(...claimBehaviours), { minLength: 1, maxLength: 10 }),
  leaveAtMs: fc.integer({ min: 0, max: 2_000 }),
  silentFromMs: fc.integer({ min: 0, max: 2_000 }),
  shutdownAtMs: fc.integer({ min: 500, max: 4_000 }),
  delaysMs: fc.array(fc.integer({ min: 0, max: 120 }), { minLength: 1, maxLength: 12 }),
  seed: fc.integer({ min: 1, max: 1_000_000 })
})

test('all invariants hold when messages are lost, delayed, duplicated or reordered', t => {
  fc.assert(fc.property(scenarios, scenario => {
    const trace = new RouterSimulation(scenario).run()
    for (const [name, check] of Object.entries(invariants)) {
      const violation = check(trace)
      if (violation !== undefined) throw new Error(`invariant ${name} is violated by ${violation}`)
    }
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

/** Builds a mutation that changes events before the router handles them, or the effects it returns. */
function mutateRouter (
  onEvent: (event: RoutingEvent) => RoutingEvent, onEffect: (effect: RoutingEffect) => RoutingEffect[]
): Mutation {
  const wrap = (router: RequestRouter): RouterLike => ({
    handle: (event, nowMs) => router.handle(onEvent(event), nowMs).flatMap(onEffect),
    nextWakeAtMs: () => router.nextWakeAtMs(),
    get openRequests () { return router.openRequests }
  })
  return { wrap }
}

const sameEvent = (event: RoutingEvent) => event
const sameEffect = (effect: RoutingEffect) => [effect]

class AlwaysServingRegistry extends BackendRegistry {
  override isServing (): boolean {
    return true
  }
}

const mutations: Record<InvariantName, Mutation> = {
  atMostOnce: mutateRouter(
    event => event.kind === 'attempt_failed' ? { ...event, progress: 'not_sent' } : event, sameEffect),
  neverRunAfterNotRun: mutateRouter(sameEvent, effect => effect.kind === 'refuse' && effect.failure.kind === 'outcome_unknown'
    ? [{ ...effect, failure: { kind: 'deadline_exceeded', detail: 'mutation' } }]
    : [effect]),
  exactlyOneOutcome: mutateRouter(sameEvent, effect => effect.kind === 'answer' ? [effect, effect] : [effect]),
  answerFromBackendServer: mutateRouter(
    sameEvent, effect => effect.kind === 'answer' ? [{ ...effect, attempt: effect.attempt + 1 }] : [effect]),
  claimedBeforeDispatch: mutateRouter(event => {
    if (event.kind !== 'arrived') return event
    return { ...event, request: { ...event.request, idempotencyKey: undefined } }
  }, sameEffect),
  claimSettledOnce: mutateRouter(sameEvent, effect => effect.kind === 'settle_claim' ? [effect, effect] : [effect]),
  claimSettledCorrectly: mutateRouter(
    sameEvent, effect => effect.kind === 'settle_claim' ? [{ ...effect, outcome: 'not_run' }] : [effect]),
  onlyServingServers: { registry: () => new AlwaysServingRegistry(400) },
  everyRequestEnds: mutateRouter(
    event => event.kind === 'claim_decided' ? { kind: 'tick' } : event, sameEffect)
}

for (const [name, mutation] of Object.entries(mutations) as Array<[InvariantName, Mutation]>) {
  test(`the check of invariant ${name} detects a router that violates it`, t => {
    const result = fc.check(fc.property(scenarios, scenario =>
      invariants[name](new RouterSimulation(scenario, mutation).run()) === undefined
    ), { seed: SEED, numRuns: MUTATION_RUNS, endOnFailure: true })
    t.true(result.failed)
    // The run has to fail because the check returned false, not because of an exception.
    t.is((result.errorInstance as Error | null)?.message, 'Property failed by returning false')
  })
}
