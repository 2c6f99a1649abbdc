import test from 'ava'
import { formatFileProblem, parseJobFile, parseConfigurationFile } from '../src/index.js'

const rules = 'rules: { maxGangTasks: 64, reclaimWithinMs: 3000, maxRequestBodyBytes: 1, defaultDeadlineMs: 1, maxDeadlineMs: 2 }'

const worker = (id: string, rack: string, position: number) =>
  `  - { workerId: ${id}, rackId: ${rack}, rackPosition: ${position}, cores: 64, memoryGb: 256, acceleratorModel: gpu, accelerators: 8 }`

function formatProblems (text: string): string[] {
  const result = parseConfigurationFile('f.yaml', text)
  return result.kind === 'valid' ? [] : result.problems.map(formatFileProblem)
}

test('all schema errors are reported at once with their lines, so that a file can be corrected in one pass', t => {
  const text = `racks: []
workers:
  - workerId: w1
    rackId: r1
    rackPosition: 0.5
    cores: many
    memoryGb: 0
    acceleratorModel: gpu
    accelerators: 8
    colour: red
organisations: []
guarantees: []
`
  t.deepEqual(formatProblems(text), [
    'f.yaml:1: rules: found nothing, allowed a value of type object',
    'f.yaml:5: workers[0].rackPosition: found 0.5, allowed a whole number',
    'f.yaml:6: workers[0].cores: found "many", allowed a value of type number',
    'f.yaml:7: workers[0].memoryGb: found 0, allowed at least 1',
    'f.yaml:10: workers[0].colour: found an unknown field, allowed the fields ' +
      'workerId, rackId, rackPosition, cores, memoryGb, acceleratorModel, accelerators'
  ])
})

test('all duplicates and broken references are reported, although a node reports only the first', t => {
  const text = `racks:
  - { rackId: r1, region: a, availabilityZone: b }
workers:
${worker('w1', 'r1', 0)}
${worker('w1', 'r9', 1)}
${worker('w2', 'r1', 0)}
organisations: []
guarantees:
  - { guaranteeId: g, organisationId: o, acceleratorModel: gpu, acceleratorsPerCell: 8, cells: 1 }
${rules}
`
  t.deepEqual(formatProblems(text), [
    'f.yaml:5: workers[1].workerId: found duplicate w1, allowed a value other than that of workers[0]',
    'f.yaml:5: workers[1].rackId: found "r9", allowed the rackId of an entry in racks',
    'f.yaml:6: workers[2].rackPosition: found duplicate 0 of rack r1, allowed a value other than that of workers[0]',
    'f.yaml:9: guarantees[0].organisationId: found "o", allowed the organisationId of an entry in organisations'
  ])
})

test('a syntax error is reported with its line, and the file is not partially accepted', t => {
  const [problem] = formatProblems('racks: []\nworkers: [\n')
  t.regex(problem ?? '', /^f\.yaml:\d: found .*allowed valid YAML/)
})

test('a job without an ID gets a generated one, so that a retry by the client does not create a second job', t => {
  const text = `{ organisationId: o, jobClass: nightly, tasks: 2, acceleratorModel: gpu, acceleratorsPerTask: 8, coresPerTask: 1,
    memoryGbPerTask: 1, adjacency: rack, declaredRunMs: 1000, priority: normal, preemption: repeat }`
  const result = parseJobFile('job.yaml', text)
  t.regex(result.kind === 'valid' ? result.value.jobId : '', /^nightly-[0-9a-f]{12}$/)
})
