import test from 'ava'
import { formatFileProblem } from '@comfreygrade/documents'
import { readSettings } from '../src/settings.js'

// The roles of `node` and those of its entry in `peers.nodes` differ, which is not checked.
const settingsText = `
node: { nodeId: n1, region: salto, availabilityZone: salto-a, roles: [entry, control], dataFolder: ./data }
http: { host: 127.0.0.1, port: 7101 }
peers:
  host: 127.0.0.1
  port: 7201
  nodes:
    - { nodeId: n1, host: 127.0.0.1, port: 7201, httpAddress: 'http://127.0.0.1:7101', region: salto, roles: [entry] }
consensus: { heartbeatIntervalMs: 80 }
`
// Stand-ins for the real defaults; `heartbeatIntervalMs` is not a setting of the consensus package.
const defaults = { routing: {}, placement: {}, consensus: { heartbeatIntervalMs: 100 }, control: {} }

test('omitted settings get their defaults', t => {
  const result = readSettings('n1.yaml', settingsText, defaults)
  t.is(result.kind, 'valid')
  if (result.kind === 'valid') t.is(result.value.timing.configurationLeaseMs, 5000)
})

test('all errors are reported at once, each with its line, its field and what was found', t => {
  const text = settingsText
    .replace('port: 7101', 'port: 0')
    .replace('dataFolder: ./data', 'dataFolder: ./data, colour: red')
    .replace('host: 127.0.0.1\n  port: 7201', 'host: localhost\n  port: 7201')
  const result = readSettings('n1.yaml', text, defaults)
  t.is(result.kind, 'invalid')
  if (result.kind === 'valid') return
  const lines = result.problems.map(formatFileProblem)
  t.is(lines.length, 3)
  t.true(lines.some(line => line.startsWith('n1.yaml:2: node.colour: found an unknown field, allowed the fields nodeId, region')))
  t.true(lines.some(line => line.startsWith('n1.yaml:3: http.port: found 0')))
  t.true(lines.some(line => line.startsWith('n1.yaml:5: peers.host: found "localhost"')))
})

test('an override of a setting that has no default is an error, so that a misspelt name is not ignored', t => {
  const result = readSettings('n1.yaml', settingsText.replace('heartbeatIntervalMs: 80', 'heartbeatMs: 80'), defaults)
  t.is(result.kind, 'invalid')
  if (result.kind === 'invalid') t.like(result.problems[0], { line: 9, field: 'consensus.heartbeatMs', found: 'an unknown field' })
})

test('a control node without a data folder is rejected, as its log would not be durable', t => {
  const result = readSettings('n1.yaml', settingsText.replace(', dataFolder: ./data', ''), defaults)
  t.is(result.kind, 'invalid')
  if (result.kind === 'invalid') t.is(result.problems[0]?.field, 'node.dataFolder')
})

test('malformed YAML is rejected', t => {
  const result = readSettings('n1.yaml', 'node:\n  a: [1\nhttp: 2\n', defaults)
  t.is(result.kind, 'invalid')
})
