/**
 * Runs cases of `review/` one after the other on the bundled program, and sets the exit code. Without numbers it runs
 * those that are mended, which belong into what is run before a landing. The records that the cases write are put back
 * as they were.
 *
 *     npm run review -- [--times N] [NUMBER...]
 *
 * `TROUBLE=0` leaves out the disruptions, and `KEEP_LOGS=1` keeps the logs of the processes.
 */
import { spawnSync } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { parseArgs } from 'node:util'
import { bundle } from './bundle.mjs'

const MENDED_CASES = ['2', '3', '5', '6', '9']
/** Meaning of the exit codes of a case. */
const RESULTS = ['held', 'broken', 'could not run']

/** Runs a case once; returns its exit code. */
function runCase (name: string): number {
  const recordPath = `review/${name}/record.txt`
  const record = readFileSync(recordPath)
  const startedMs = performance.now()
  const { status } = spawnSync('bash', [`review/${name}/run.sh`], { stdio: 'inherit' })
  writeFileSync(recordPath, record)
  const exitCode = status ?? RESULTS.length - 1
  console.log(`review/${name}: ${RESULTS[exitCode] ?? `exit code ${exitCode}`}, ${Math.round(performance.now() - startedMs)} ms`)
  return exitCode
}

const { values, positionals } = parseArgs({ options: { times: { type: 'string', default: '1' } }, allowPositionals: true })
const names = positionals.length > 0 ? positionals : MENDED_CASES
const times = Number(values.times)
if (!(Number.isSafeInteger(times) && times > 0)) throw new Error(`--times: found ${values.times}, allowed a whole number`)
await bundle('target')
const exitCodes = names.flatMap(name => Array.from({ length: times }, () => runCase(name)))
console.log(`${exitCodes.filter(code => code === 0).length} of ${exitCodes.length} runs held`)
process.exitCode = exitCodes.every(code => code === 0) ? 0 : 1
