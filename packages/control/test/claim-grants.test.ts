import test from 'ava'
import { ClaimTable, defaultControlStateSettings } from '../src/index.js'

/** A version 7 UUID issued at 1,000 ms. */
const key = '00000000-03e8-7000-8000-000000000001'
const maxDeadlineMs = 1_000_000
const request = { kind: 'claim_request', organisationId: 'o1', key, digest: 'd' } as const
const settlement = { kind: 'settle_claim', organisationId: 'o1', key, answer: null } as const

function isGranted (table: ClaimTable, claimantId: string, logTimeMs = 2_000): boolean {
  const result = table.claim({ ...request, claimantId }, logTimeMs, maxDeadlineMs)
  return result.kind === 'claimed' && result.granted
}

test('a claimant that repeats its claim after a lost answer is granted again, so that the claim does not stay pending', t => {
  const table = new ClaimTable(defaultControlStateSettings)
  t.true(isGranted(table, 'a'))
  t.true(isGranted(table, 'a'))
  t.false(isGranted(table, 'b'))
})

test('a claim settled as not run is granted to the next claimant, because its caller was told to repeat the request', t => {
  const table = new ClaimTable(defaultControlStateSettings)
  t.true(isGranted(table, 'a'))
  table.settle({ ...settlement, claimantId: 'a', state: 'not_run' }, 5)
  t.true(isGranted(table, 'b'))
  t.false(isGranted(table, 'c'))
})

test('only the claimant can settle a claim, so that a late settlement does not free a key in use by another request', t => {
  const table = new ClaimTable(defaultControlStateSettings)
  isGranted(table, 'a')
  table.settle({ ...settlement, claimantId: 'a', state: 'not_run' }, 5)
  isGranted(table, 'b')
  t.like(table.settle({ ...settlement, claimantId: 'a', state: 'not_run' }, 6), { kind: 'refused' })
  t.false(isGranted(table, 'c'))
})

test('a completed or unknown claim is never granted again', t => {
  for (const state of ['completed', 'unknown'] as const) {
    const table = new ClaimTable(defaultControlStateSettings)
    isGranted(table, 'a')
    table.settle({ ...settlement, claimantId: 'a', state }, 5)
    t.false(isGranted(table, 'a'))
    t.false(isGranted(table, 'b'))
  }
})

test('a claim that is granted again still expires at its original time, and its key is then refused as expired', t => {
  const table = new ClaimTable(defaultControlStateSettings)
  const { claimRetentionMs } = defaultControlStateSettings
  isGranted(table, 'a')
  table.settle({ ...settlement, claimantId: 'a', state: 'not_run' }, 5)
  isGranted(table, 'b', claimRetentionMs)
  table.removeExpired(claimRetentionMs + 30_000)
  t.is(table.size, 0)
  const late = table.claim({ ...request, claimantId: 'c' }, claimRetentionMs + 30_000, maxDeadlineMs)
  t.is(late.kind === 'refused' ? late.failure.kind : late.kind, 'key_expired')
})
