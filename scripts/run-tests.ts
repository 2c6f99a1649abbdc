/**
 * Runs the test suite and sets the exit code for continuous integration.
 *
 * A failing test fails the run unless `KNOWN-RED.txt` lists its title; listed failures are printed.
 * A listed test that passes fails the run too, so that its entry is removed. An entry for a test that no longer exists
 * is not detected. A run in which no test passes fails too. The tests of `ava.crowd.config.js` run one at a time, after
 * all others.
 * A crash of the test runner is detected only if no test failed.
 */
import { spawn } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { Parser } from 'tap-parser'

/** Lines of `KNOWN-RED.txt` with this prefix hold the titles of tests; all other lines are ignored. */
const KNOWN_FAILURE_PREFIX = 'test: '

function readKnownFailures (): Set<string> {
  const entries = readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.startsWith(KNOWN_FAILURE_PREFIX))
  return new Set(entries.map(line => line.slice(KNOWN_FAILURE_PREFIX.length).trim()))
}

interface Assertion { ok: boolean, name: string, diag?: unknown }

const knownFailures = readKnownFailures()
const passed: string[] = []
const failed: Assertion[] = []
let crashCode: number | null | undefined

/** Runs AVA and collects the outcome of each test; a crash of the runner is recorded if no test of this run failed. */
async function runAva (args: readonly string[]): Promise<void> {
  const failedBefore = failed.length
  const child = spawn(process.execPath,
    ['--import=./scripts/ava-timeout-report.mjs', 'node_modules/ava/entrypoints/cli.mjs', '--tap', ...args],
    { stdio: ['ignore', 'pipe', 'inherit'] })
  const parser = new Parser()
  parser.on('assert', (assertion: Assertion) => {
    if (assertion.ok) passed.push(assertion.name)
    else failed.push(assertion)
  })
  child.stdout.pipe(parser)
  const code = await new Promise<number | null>(resolve => { child.once('close', resolve) })
  if (failed.length === failedBefore && code !== 0) crashCode = code
}

const args = process.argv.slice(2)
await runAva(args)
// Arguments name files or tests of the main run.
if (args.length === 0) await runAva(['--config', 'ava.crowd.config.js'])

const unexpected = failed.filter(assertion => !knownFailures.has(assertion.name))
const passingKnownFailures = passed.filter(name => knownFailures.has(name))
for (const assertion of failed) {
  console.log(`${knownFailures.has(assertion.name) ? 'KNOWN FAILURE' : 'FAILED'}: ${assertion.name}`)
  console.log(JSON.stringify(assertion.diag, null, 2))
}
for (const name of passingKnownFailures) console.log(`listed in KNOWN-RED.txt but passing: ${name}`)
const crashed = crashCode !== undefined
if (crashed) console.log(`the test runner ended with exit code ${crashCode} without a failed test`)
console.log(`${passed.length} passed, ${unexpected.length} failed`)
process.exitCode = unexpected.length > 0 || passingKnownFailures.length > 0 || crashed || passed.length === 0 ? 1 : 0
