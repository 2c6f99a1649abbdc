import test from 'ava'
import { InMemoryMetrics, Random, type BackendServerRecord, type RequestSpec } from '@comfreygrade/core'
import {
  BackendRegistry, defaultRoutingSettings, LocalityPolicy, RequestRouter, RoundRobinPolicy,
  type RoutingEffect, type RoutingPolicy, type RoutingSettings
} from '../src/index.js'

const EXPIRE_AFTER_MS = 60_000

interface Setup {
  readonly settings?: Partial<RoutingSettings>
  readonly servers?: ReadonlyArray<Partial<BackendServerRecord>>
  readonly weights?: ReadonlyMap<string, number>
  readonly policy?: RoutingPolicy
}

function setUp ({ settings, servers = [{}], weights = new Map([['o1', 1], ['o2', 1]]), policy }: Setup = {}) {
  const registry = new BackendRegistry(EXPIRE_AFTER_MS)
  servers.forEach((server, index) => registry.announce(serverRecord({ backendServerId: `b${index}`, ...server }), 0))
  const merged = { ...defaultRoutingSettings, ...settings }
  const metrics = new InMemoryMetrics()
  const router = new RequestRouter({
    settings: merged,
    registry,
    policy: policy ?? new LocalityPolicy(merged.randomChoices),
    random: new Random(7),
    metrics,
    location: { region: 'salto', availabilityZone: 'salto-a' }
  })
  router.setOrganisations(weights)
  return { router, registry, metrics }
}

function serverRecord (overrides: Partial<BackendServerRecord>): BackendServerRecord {
  return {
    backendServerId: 'b0',
    incarnation: 1,
    sequence: 1,
    address: 'http://127.0.0.1:1',
    region: 'salto',
    availabilityZone: 'salto-a',
    services: ['print'],
    slots: 1,
    connections: 60,
    state: 'active',
    ...overrides
  }
}

function request (requestId: string, overrides: Partial<RequestSpec> = {}): RequestSpec {
  return {
    requestId,
    organisationId: 'o1',
    service: 'print',
    requestClass: 'charge',
    repeatability: 'idempotent',
    deadlineAtMs: 10_000,
    ...overrides
  }
}

function arrive (router: RequestRouter, spec: RequestSpec, nowMs = 0): RoutingEffect[] {
  return router.handle({ kind: 'arrived', request: spec }, nowMs)
}

function succeed (router: RequestRouter, requestId: string, nowMs: number, attempt = 1): RoutingEffect[] {
  return router.handle({ kind: 'answered', requestId, attempt, status: 'success' }, nowMs)
}

function refusalKinds (effects: readonly RoutingEffect[]): string[] {
  return effects.flatMap(effect => effect.kind === 'refuse' ? [effect.failure.kind] : [])
}

function dispatched (effects: readonly RoutingEffect[]): Array<[requestId: string, backendServerId: string]> {
  return effects.flatMap(effect =>
    effect.kind === 'dispatch' ? [[effect.request.requestId, effect.backendServer.backendServerId] as const] : [])
    .map(([requestId, backendServerId]) => [requestId, backendServerId])
}

/** Sends ticks at the times that the router requests until `endMs` and collects the effects. */
function runUntil (router: RequestRouter, endMs: number): RoutingEffect[] {
  const effects: RoutingEffect[] = []
  for (let wakeAtMs = router.nextWakeAtMs(); wakeAtMs !== undefined && wakeAtMs <= endMs;) {
    effects.push(...router.handle({ kind: 'tick' }, wakeAtMs))
    wakeAtMs = router.nextWakeAtMs()
  }
  return effects
}

/** Answers `count` requests of a class after `serviceMs` each, so that the router learns their service time. */
function observeServiceTimes (
  router: RequestRouter, requestClass: string, serviceMs: number, count: number, startMs = 0
): number {
  let nowMs = startMs
  for (let index = 0; index < count; index++) {
    const requestId = `${requestClass}-${index}`
    arrive(router, request(requestId, { requestClass, deadlineAtMs: nowMs + 100_000 }), nowMs)
    nowMs += serviceMs
    succeed(router, requestId, nowMs)
  }
  return nowMs
}

test('requests with an unknown organisation, an unknown service or a passed deadline are refused on arrival', t => {
  const { router, metrics } = setUp()
  t.deepEqual(refusalKinds(arrive(router, request('r1', { organisationId: 'nobody' }))), ['unknown_organisation'])
  t.deepEqual(refusalKinds(arrive(router, request('r2', { service: 'plots' }))), ['no_backend_server'])
  t.deepEqual(refusalKinds(arrive(router, request('r3', { deadlineAtMs: 5 }), 5)), ['deadline_exceeded'])
  t.is(metrics.snapshot()['refusal{kind=unknown_organisation}'], 1)
})

test('nearer servers are used first, so that cross-region traffic is paid for only when nearer servers are full', t => {
  const { router } = setUp({
    servers: [
      { region: 'maldonado', availabilityZone: 'maldonado-a', slots: 2 },
      { availabilityZone: 'salto-b' },
      { availabilityZone: 'salto-a' }
    ]
  })
  const chosen = ['r1', 'r2', 'r3'].flatMap(id => dispatched(arrive(router, request(id))))
  t.deepEqual(chosen, [['r1', 'b2'], ['r2', 'b1'], ['r3', 'b0']])
})

test('a request is queued instead of refused while the lower of slots and connections is in use', t => {
  const { router } = setUp({ servers: [{ slots: 8, connections: 2 }] })
  const first = ['r1', 'r2', 'r3'].flatMap(id => arrive(router, request(id)))
  t.is(dispatched(first).length, 2)
  t.is(router.queuedRequests, 1)
  t.deepEqual(dispatched(succeed(router, 'r1', 20)), [['r3', 'b0']])
})

test('a queued request is sent as soon as a server is announced, without polling', t => {
  const { router, registry } = setUp({ servers: [{ state: 'leaving' }] })
  t.deepEqual(arrive(router, request('r1')), [])
  registry.announce(serverRecord({ backendServerId: 'b9' }), 10)
  // A time that is not in the future: the tick is due at once.
  t.is(router.nextWakeAtMs(), 0)
  t.deepEqual(dispatched(router.handle({ kind: 'tick' }, 10)), [['r1', 'b9']])
})

test('a shutdown refuses requests that were never sent and lets sent ones finish, so that it interrupts no running request', t => {
  const { router } = setUp()
  arrive(router, request('sent'))
  arrive(router, request('waiting'))
  t.deepEqual(router.handle({ kind: 'drain_started' }, 5).map(effect => effect.kind), ['refuse'])
  t.deepEqual(refusalKinds(arrive(router, request('new'), 6)), ['shutting_down'])
  t.is(router.openRequests, 1)
  t.deepEqual(succeed(router, 'sent', 20).map(effect => effect.kind), ['answer'])
  t.is(router.openRequests, 0)
})

test('a late answer to an earlier attempt ends an idempotent request, and a second answer is ignored', t => {
  const { router } = setUp({ servers: [{}, {}] })
  arrive(router, request('r1'))
  const lost = { requestId: 'r1', attempt: 1, progress: 'maybe_sent', reason: 'connection_lost' } as const
  router.handle({ kind: 'attempt_failed', ...lost }, 5)
  t.is(dispatched(runUntil(router, 40)).length, 1)
  t.deepEqual(succeed(router, 'r1', 50), [{ kind: 'answer', requestId: 'r1', attempt: 1 }])
  t.deepEqual(succeed(router, 'r1', 60, 2), [])
})

test('retries stop when the retry budget is exhausted, so that they do not multiply the load on a failing service', t => {
  const settings = { retryBudgetMaxTokens: 3, retryBudgetMinPerSecond: 0, retryBudgetPerRequest: 0 }
  const { router, metrics } = setUp({ settings: { ...settings, ejectAfterFailures: Infinity } })
  const failure = { progress: 'not_sent', reason: 'connect_failed' } as const
  let effects = arrive(router, request('r1', { deadlineAtMs: 3_000 }))
  let attempts = 0
  let nowMs = 0
  while (dispatched(effects).length > 0) {
    effects = router.handle({ kind: 'attempt_failed', requestId: 'r1', attempt: ++attempts, ...failure }, ++nowMs)
    for (let wakeAtMs = router.nextWakeAtMs(); effects.length === 0 && wakeAtMs !== undefined;) {
      nowMs = wakeAtMs
      effects = router.handle({ kind: 'tick' }, nowMs)
      wakeAtMs = router.nextWakeAtMs()
    }
  }
  t.is(attempts, 4)
  t.deepEqual(refusalKinds(effects), ['retry_budget_exhausted'])
  t.is(metrics.snapshot()['retry{reason=connect_failed}'], 3)
})

test('a server that fails fast is ejected, so that its short response times attract only a few requests', t => {
  const { router } = setUp({ servers: [{ slots: 4 }, { slots: 4 }] })
  const errors: number[] = []
  for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
    const id = `r${nowMs}`
    const spec = request(id, { repeatability: 'non-repeatable', deadlineAtMs: nowMs + 1_000 })
    const [[, server] = []] = dispatched(arrive(router, spec, nowMs))
    if (server === 'b0') errors.push(nowMs)
    const status = server === 'b0' ? 'server_error' : 'success'
    router.handle({ kind: 'answered', requestId: id, attempt: 1, status }, nowMs + 1)
  }
  t.true(errors.length > 0 && errors.length <= 5, `${errors.length} requests met the failing server`)
})

test('long requests leave reserved slots free, so that short requests do not wait behind them', t => {
  const { router } = setUp({ servers: [{ slots: 4 }], settings: { reservedShortSlots: 1 } })
  const observedUntilMs = observeServiceTimes(router, 'charge', 10, 100)
  const startMs = observeServiceTimes(router, 'reconcile', 2_000, 5, observedUntilMs)
  const long = ['l1', 'l2', 'l3', 'l4'].flatMap(id =>
    arrive(router, request(id, { requestClass: 'reconcile', deadlineAtMs: startMs + 60_000 }), startMs))
  t.is(dispatched(long).length, 3)
  t.is(dispatched(arrive(router, request('s1', { deadlineAtMs: startMs + 100 }), startMs)).length, 1)
})

test('organisations share a busy server by weight, and a full queue refuses requests of the one that holds most of it', t => {
  const weights = new Map([['o1', 1], ['o2', 3]])
  const { router } = setUp({ weights, settings: { maxQueuedRequests: 40 } })
  arrive(router, request('first'))
  const refused = Array.from({ length: 60 }, (_, index) => arrive(router, request(`a${index}`))).flat()
  t.deepEqual(new Set(refusalKinds(refused)), new Set(['queue_full']))
  for (let index = 0; index < 20; index++) {
    const effects = arrive(router, request(`b${index}`, { organisationId: 'o2' }))
    t.true(effects.every(effect => effect.kind === 'refuse' && effect.requestId.startsWith('a')))
  }
  const served: string[] = []
  for (let requestId = 'first', nowMs = 10; served.length < 16; nowMs += 10) {
    [[requestId] = ['']] = dispatched(succeed(router, requestId, nowMs))
    served.push(requestId)
  }
  t.is(served.filter(id => id.startsWith('b')).length, 12)
})

test('a request whose deadline cannot be met is refused at admission, and a retry after the advised delay is served in time', t => {
  const { router } = setUp()
  let nowMs = observeServiceTimes(router, 'charge', 50, 10)
  const ids = Array.from({ length: 15 }, (_, index) => `q${index}`)
  for (const id of ids) arrive(router, request(id, { deadlineAtMs: nowMs + 60_000 }), nowMs)
  const answeredAtMs = new Map<string, number>()
  let [requestId] = ids
  const serveUntil = (endMs: number) => {
    while (nowMs < endMs && requestId !== undefined) {
      nowMs += 50
      answeredAtMs.set(requestId, nowMs)
      requestId = dispatched(succeed(router, requestId, nowMs))[0]?.[0]
    }
  }
  serveUntil(nowMs + 600)
  const arrivals = Array.from({ length: 40 }, (_, index) =>
    arrive(router, request(`p${index}`, { deadlineAtMs: nowMs + 1_000 }), nowMs)).flat()
  const refused = arrivals.find(effect => effect.kind === 'refuse')
  if (refused?.kind !== 'refuse') return t.fail('every request was admitted')
  t.is(refused.failure.kind, 'deadline_unreachable')
  serveUntil(nowMs + refused.failure.retryAfterMs!)
  const deadlineAtMs = nowMs + 1_000
  t.deepEqual(refusalKinds(arrive(router, request('again', { deadlineAtMs }), nowMs)), [])
  serveUntil(Infinity)
  t.true(answeredAtMs.get('again')! <= deadlineAtMs)
  t.is(router.openRequests, 0)
})

test('counts reported by peers use up capacity until they decay, so that a silent peer does not block it for long', t => {
  const { router } = setUp({ servers: [{ slots: 2 }] })
  arrive(router, request('r1'))
  succeed(router, 'r1', 10)
  router.applyPeerLoadReport('entry-2', { entries: [{ backendServerId: 'b0', inFlight: 2, longInFlight: 0 }] }, 20)
  arrive(router, request('r2'), 21)
  arrive(router, request('r3'), 21)
  t.is(router.queuedRequests, 1)
  runUntil(router, 3_000)
  t.is(router.queuedRequests, 0)
})

test('a load report contains only changed servers and keeps to its size limit, so that reports do not overload the links', t => {
  const servers = Array.from({ length: 20 }, () => ({ slots: 4 }))
  const { router } = setUp({ servers })
  for (let index = 0; index < 20; index++) arrive(router, request(`r${index}`))
  const first = router.nextLoadReport(400, 1)
  t.true(first.entries.length > 0 && JSON.stringify(first).length <= 400)
  const rest = router.nextLoadReport(100_000, 2)
  t.is(new Set([...first.entries, ...rest.entries].map(entry => entry.backendServerId)).size,
    first.entries.length + rest.entries.length)
  t.deepEqual(router.nextLoadReport(100_000, 3).entries, [])
})

test('the same events and seed give the same effects, so that a failure can be reproduced', t => {
  const runEvents = () => {
    const { router } = setUp({ servers: [{ slots: 3 }, { slots: 3 }, { slots: 3 }] })
    return Array.from({ length: 50 }, (_, index) => [
      ...arrive(router, request(`r${index}`), index), ...succeed(router, `r${index - 4}`, index)
    ])
  }
  t.deepEqual(runEvents(), runEvents())
})

test('the round robin baseline uses every serving server in turn and queues nothing, so that comparisons stay valid', t => {
  const { router } = setUp({ servers: [{}, {}], policy: new RoundRobinPolicy() })
  const chosen = ['r1', 'r2', 'r3', 'r4'].flatMap(id => dispatched(arrive(router, request(id))))
  t.deepEqual(chosen.map(([, server]) => server), ['b0', 'b1', 'b0', 'b1'])
})
