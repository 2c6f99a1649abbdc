/** The answers to "why does this step wait" and "how did this job end", from logs alone. */
import test from 'ava'
import { explainFromLog, parseLogLine, type LogLine } from '../src/log-explainer.js'
import { runCommand } from './fake-node.js'

function line (timeMs: number, message: string, fields: object): LogLine {
  return { timeMs, nodeId: 'a', message, fields: { ...fields } }
}

test('a line is read from its JSON object on, and any other line is left out', t => {
  const written = '12.5 core-1 {"timeMs":7,"level":"info","nodeId":"n","message":"run assigned","taskKey":"j.0.0.0"}'
  t.deepEqual(parseLogLine(written), { timeMs: 7, nodeId: 'n', message: 'run assigned', fields: { taskKey: 'j.0.0.0' } })
  for (const text of ['', 'no object', '{"message":"no time"}', '{"timeMs":1', '[1]', 'null']) {
    t.is(parseLogLine(text), undefined)
  }
})

test('the explanation of a waiting step names the reason of its latest line and the tasks that wait', t => {
  const lines = [
    line(1, 'job submission settled', { jobId: 'j' }),
    line(2, 'step waits', { stepKey: 'j.0.0', reason: 'capacity', tasks: 8, waitedMs: 1_000 }),
    line(3, 'step waits', { stepKey: 'j.0.0', reason: 'rack', tasks: 8, waitedMs: 3_000 }),
    line(3, 'step waits', { stepKey: 'jj.0.0', reason: 'ticket', tasks: 1, waitedMs: 3_000 })
  ]
  const { lines: own, conclusions } = explainFromLog(lines, 'j')
  t.is(own.length, 3)
  t.deepEqual(conclusions, ['step j.0.0 waits with 8 tasks after 3000 ms: no rack has room for the whole gang'])
})

test('a reason that this version does not know is named as it is, also one that every object has', t => {
  for (const reason of ['exploded', 'constructor']) {
    const fields = { stepKey: 'j.0.0', reason, tasks: 1, waitedMs: 1_000 }
    t.deepEqual(explainFromLog([line(2, 'step waits', fields)], 'j').conclusions, [
      `step j.0.0 waits with 1 tasks after 1000 ms: ${reason}`
    ])
  }
})

test('the explanation of a waiting step says how many workers get no new runs and why', t => {
  const fields = { stepKey: 'j.0.0', reason: 'no_worker', tasks: 2, waitedMs: 3_000, unschedulableWorkers: { suspect_run: 4, leaving: 1 } }
  t.deepEqual(explainFromLog([line(2, 'step waits', fields)], 'j').conclusions, [
    'step j.0.0 waits with 2 tasks after 3000 ms: no worker that can be used could hold a task of it; ' +
    'workers that get no new runs: 4 suspect_run, 1 leaving'
  ])
})

test('a step whose tasks were assigned after its last wait does not wait, and its runs without an end are named', t => {
  const lines = [
    line(2, 'step waits', { stepKey: 'j.0.0', reason: 'rack', tasks: 2, waitedMs: 1_000 }),
    line(3, 'run assigned', { taskKey: 'j.0.0.0', run: 1, workerId: 'w' }),
    line(3, 'run assigned', { taskKey: 'j.0.0.1', run: 1, workerId: 'w' }),
    line(5, 'run ended', { taskKey: 'j.0.0.1', run: 1, reason: 'done', workerId: 'w' })
  ]
  t.deepEqual(explainFromLog(lines, 'j.0.0').conclusions, ['without a recorded end: j.0.0.0 run 1'])
})

test('what happened to the workers of a job belongs to its explanation', t => {
  const lines = [
    line(3, 'run assigned', { taskKey: 'j.0.0.0', run: 1, workerId: 'w' }),
    line(4, 'worker gone', { workerId: 'w', reason: 'left' }),
    line(4, 'worker gone', { workerId: 'other', reason: 'left' })
  ]
  t.deepEqual(explainFromLog(lines, 'j').lines.map(({ message }) => message), ['run assigned', 'worker gone'])
})

test('the end of a job is its explanation, and an unknown ID is said to be unknown', t => {
  const ended = [line(9, 'job ended', { jobId: 'j', outcome: 'failed' })]
  t.deepEqual(explainFromLog(ended, 'j').conclusions, ['the job ended as failed'])
  t.deepEqual(explainFromLog([], 'j'), { id: 'j', lines: [], conclusions: ['no line of the logs names it'] })
})

test('log explain reads a log from stdin and prints its lines with times from the first one', async t => {
  const text = [
    '{"timeMs":1000,"nodeId":"a","message":"request answered","path":"/q/j","outcome":"ok"}',
    '{"timeMs":3500,"nodeId":"b","message":"job ended","jobId":"j","outcome":"completed"}'
  ].join('\n')
  const { stdout, reason } = await runCommand([], ['log', 'explain', 'j', '-'], text)
  t.is(reason, 'done')
  t.regex(stdout, /0\.000 s {2}a {2}request answered/)
  t.regex(stdout, /2\.500 s {2}b {2}job ended/)
  t.regex(stdout, /the job ended as completed/)
})
