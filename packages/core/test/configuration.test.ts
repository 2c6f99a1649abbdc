import test from 'ava'
import { applyChange, diffDocument, emptyConfiguration, toDocument, type ConfigurationDocument } from '../src/index.js'

const document: ConfigurationDocument = {
  racks: [{ rackId: 'r1', region: 'salto', availabilityZone: 'salto-a' }],
  workers: [{
    workerId: 'w1', rackId: 'r1', rackPosition: 0, cores: 64, memoryGb: 256, acceleratorModel: 'gpu', accelerators: 8
  }],
  organisations: [{ organisationId: 'o1', quotaAccelerators: 8, weight: 1 }],
  guarantees: [{ guaranteeId: 'g1', organisationId: 'o1', acceleratorModel: 'gpu', acceleratorsPerCell: 4, cells: 1 }],
  rules: toDocument(emptyConfiguration()).rules
}

function createConfiguration () {
  const result = applyChange(emptyConfiguration(), diffDocument(emptyConfiguration(), document))
  if (!result.ok) throw new Error(result.failure.detail)
  return result.value
}

test('diffing the current document gives an empty change, so that submitting the same document again changes no record', t => {
  const change = diffDocument(createConfiguration(), document)
  t.deepEqual(change, { version: 2, baseVersion: 1, upserts: [], removes: [] })
})

test('a change based on an older version is refused, so that concurrent operators do not overwrite each other', t => {
  const result = applyChange(createConfiguration(), { version: 1, baseVersion: 0, upserts: [], removes: [] })
  t.is(result.ok ? undefined : result.failure.kind, 'version_gap')
})

test('removing a rack that still has workers is refused, so that no worker refers to a missing rack', t => {
  const change = { version: 2, baseVersion: 1, upserts: [], removes: [{ kind: 'rack' as const, id: 'r1' }] }
  const result = applyChange(createConfiguration(), change)
  t.is(result.ok ? undefined : result.failure.kind, 'invalid_configuration')
})

test('applying a change does not modify the previous configuration, so that readers never see a partial change', t => {
  const current = createConfiguration()
  const result = applyChange(current, diffDocument(current, { ...document, workers: [], guarantees: [] }))
  t.true(result.ok)
  t.is(current.workers.size, 1)
})
