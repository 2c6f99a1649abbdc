import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { runCommandLine, type Streams } from '../src/index.js'

const RULES = 'rules: { maxGangTasks: 64, reclaimWithinMs: 3000, maxRequestBodyBytes: 1, defaultDeadlineMs: 1, ' +
  'maxDeadlineMs: 2 }'

const SOUND = `racks:
  - { rackId: r1, region: a, availabilityZone: a1 }
workers:
  - { workerId: w1, rackId: r1, rackPosition: 0, cores: 64, memoryGb: 256, acceleratorModel: gpu, accelerators: 8 }
organisations:
  - { organisationId: o, quotaAccelerators: 8, weight: 1 }
guarantees:
  - { guaranteeId: g, organisationId: o, acceleratorModel: gpu, acceleratorsPerCell: 4, cells: 2 }
${RULES}
`

/** Writes the texts to files, checks the first, against the second if there is one, and returns the result. */
async function check (texts: readonly string[], flags: readonly string[] = []) {
  const folder = await mkdtemp(join(tmpdir(), 'check-config-'))
  const files = texts.map((_unused, index) => join(folder, `${index}.yaml`))
  await Promise.all(texts.map(async (text, index) => { await writeFile(files[index] ?? '', text) }))
  let output = ''
  const streams: Streams = {
    readStdin: async () => Buffer.alloc(0),
    write: text => { output += String(text) },
    writeError: text => { output += String(text) }
  }
  const against = files[1] === undefined ? [] : ['--against', files[1]]
  const reason = await runCommandLine(['check-config', files[0] ?? '', ...against, ...flags], streams)
  await rm(folder, { recursive: true })
  return { reason, output: output.replaceAll(`${folder}/`, '') }
}

test('a sound file has no findings', async t => {
  t.deepEqual(await check([SOUND]), { reason: 'done', output: 'nothing found\n' })
})

test('all errors are listed with line and column', async t => {
  const { reason, output } = await check([SOUND.replace('cores: 64', 'cores: many').replace('weight: 1', 'weight: 0')])
  t.is(reason, 'usage')
  t.is(output, '0.yaml:4:50: error: workers[0].cores: found "many", allowed a value of type number\n' +
    '0.yaml:6:48: error: organisations[0].weight: found 0, allowed at least 0.01\n')
})

test('entries without effect, guarantees beyond the fleet and contradictory limits are found', async t => {
  const text = SOUND
    .replace('workers:', '  - { rackId: r2, region: b, availabilityZone: a1 }\nworkers:')
    .replace('cells: 2', 'cells: 3')
    .replace(RULES, `  - { guaranteeId: h, organisationId: o, acceleratorModel: other, acceleratorsPerCell: 1, cells: 1 }
  - { guaranteeId: i, organisationId: p, acceleratorModel: gpu, acceleratorsPerCell: 16, cells: 1 }
${RULES}`)
    .replace('guarantees:', '  - { organisationId: p, quotaAccelerators: 100, weight: 1 }\nguarantees:')
  const { reason, output } = await check([text], ['--json'])
  t.is(reason, 'refused')
  const { reports } = JSON.parse(output)
  t.deepEqual(reports.map(({ kind, field, line }: Record<string, unknown>) => `${line} ${kind} ${field}`), [
    '3 never_matches racks[1]',
    '3 contradiction racks[1].region',
    '7 contradiction organisations[0].quotaAccelerators',
    '8 never_matches organisations[1].quotaAccelerators',
    '10 exceeds_fleet guarantees[0].cells',
    '11 never_matches guarantees[1].acceleratorModel',
    '12 exceeds_fleet guarantees[2].acceleratorsPerCell',
    '12 exceeds_fleet guarantees[2].cells'
  ])
})

test('the differences from another file are shown, and do not make the file wrong', async t => {
  const { reason, output } = await check([SOUND.replace('cells: 2', 'cells: 1'), SOUND])
  t.is(reason, 'done')
  t.regex(output, /replace.*guarantee.*g.*cells: 2 -> 1/)
  const unreadable = await check([SOUND, 'racks: ['])
  t.is(unreadable.reason, 'usage')
  t.regex(unreadable.output, /^1\.yaml:1:\d+: error: /)
})
