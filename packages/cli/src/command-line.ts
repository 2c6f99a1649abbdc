/** Parses the command line, runs the selected command and reports errors. */
import { readFile } from 'node:fs/promises'
import meow from 'meow'
import { ClientError } from './client-error.js'
import { Command, type CommandContext, type CommandOptions } from './command.js'
import { CheckConfigCommand } from './check-config-command.js'
import * as configuration from './configuration-commands.js'
import { EvacuationsCommand } from './evacuation-commands.js'
import { type ExitReason, exitReasonOf } from './exit.js'
import * as fleet from './fleet-commands.js'
import * as jobs from './job-commands.js'
import * as logs from './log-commands.js'
import { NodeClient } from './node-client.js'
import { JsonOutput, type Output, type Streams, TextOutput } from './output.js'
import * as requests from './request-commands.js'

/** Used without `--node`. */
const DEFAULT_NODE_URL = 'http://127.0.0.1:8080'

/** Above the default deadline of a short request (10 s), so that the node's response arrives before the timeout. */
const DEFAULT_TIMEOUT_MS = 15_000

const commands: readonly Command[] = [
  new CheckConfigCommand(),
  new configuration.ConfigCheckCommand(),
  new configuration.ConfigDiffCommand(),
  new configuration.ConfigApplyCommand(),
  new configuration.ConfigShowCommand(),
  new configuration.ConfigStatusCommand(),
  new fleet.FleetCommand(),
  new fleet.QueueCommand(),
  new fleet.GuaranteesCommand(),
  new jobs.JobsCommand(),
  new jobs.JobSubmitCommand(),
  new jobs.JobShowCommand(),
  new jobs.JobCancelCommand(),
  new jobs.JobExplainCommand(),
  new jobs.JobWatchCommand(),
  new logs.LogExplainCommand(),
  new requests.RequestCommand(),
  new requests.ClaimCommand(),
  new fleet.DrainCommand(),
  new fleet.UndrainCommand(),
  new fleet.StatusCommand(),
  new EvacuationsCommand()
]

/**
 * Runs one command line.
 *
 * @returns the reason to exit; `exitCodes` maps it to the exit code of the process
 * @example
 * await runCommandLine(['config', 'status', '--json'], streams) // 'done'
 */
export async function runCommandLine (argv: readonly string[], streams: Streams): Promise<ExitReason> {
  const { input, flags } = parseArguments(argv)
  const output = flags.json ? new JsonOutput(streams) : new TextOutput(streams)
  const usageProblem = validateNumbers(flags)
  const command = findCommand(input)
  if (command === undefined || usageProblem !== undefined) return reportUsageError(output, input, usageProblem)
  const client = new NodeClient(flags.node, flags.timeoutMs)
  try {
    const args = input.slice(command.words.length)
    return await command.run(toContext(client, output, streams, flags, args))
  } catch (error) {
    if (!(error instanceof ClientError)) throw error
    output.writeProblem({ problem: error.problem }, error.message)
    return exitReasonOf(error.problem)
  } finally {
    await client.close()
  }
}

function parseArguments (argv: readonly string[]) {
  return meow(helpText(), {
    importMeta: import.meta,
    argv,
    allowUnknownFlags: false,
    flags: {
      node: { type: 'string', isMultiple: true, default: [DEFAULT_NODE_URL] },
      json: { type: 'boolean', default: false },
      timeoutMs: { type: 'number', default: DEFAULT_TIMEOUT_MS },
      phase: { type: 'string' },
      organisation: { type: 'string' },
      limit: { type: 'number' },
      key: { type: 'string' },
      nonRepeatable: { type: 'boolean', default: false },
      deadlineMs: { type: 'number' },
      requestClass: { type: 'string' },
      contentType: { type: 'string' },
      intervalMs: { type: 'number', default: 1_000 },
      withNode: { type: 'boolean', default: false },
      address: { type: 'string' },
      against: { type: 'string' }
    }
  })
}

type Flags = ReturnType<typeof parseArguments>['flags']

function helpText (): string {
  const width = Math.max(...commands.map(command => command.usage.length))
  const lines = commands.map(({ usage, summary }) => `    ${usage.padEnd(width)}  ${summary}`)
  return `
  Usage
    $ comfreygrade COMMAND [options]

  Commands (as FILE, "-" reads stdin)
${lines.join('\n')}

  Options (a command ignores those that it does not use)
    --node URL         URL of a node; repeatable, the next is tried when one cannot be reached or shuts down (${DEFAULT_NODE_URL})
    --json             JSON for programs instead of tables; errors go to stderr as JSON too, notes as text
    --timeout-ms N     timeout of one attempt at one node (${DEFAULT_TIMEOUT_MS}); "request" with --deadline-ms waits for the deadline instead
    --organisation ID  of "request"; filter of "jobs"
    --phase P, --limit N                      filters of "jobs"
    --non-repeatable, --key UUID              of "request"; a key is generated when none is given
    --deadline-ms N, --request-class C, --content-type T  of "request"
    --with-node        of "config check": also checks the file on a node
    --against FILE     of "check-config": also shows the differences from this file
    --interval-ms N    of "job watch" (1000)
    --address HOST:PORT  of "evacuations"

  Exit codes
    0 done, 1 refused or failed, 2 usage or invalid file, 3 conflict, 4 no response from a node (the call may have been executed)
`
}

function findCommand (input: readonly string[]): Command | undefined {
  return commands.find(({ words, parameters }) => (
    input.length === words.length + parameters.length && words.every((word, index) => input[index] === word)))
}

function validateNumbers (flags: Flags): string | undefined {
  const { timeoutMs, intervalMs, deadlineMs, limit } = flags
  const numbers = {
    '--timeout-ms': timeoutMs, '--interval-ms': intervalMs, '--deadline-ms': deadlineMs, '--limit': limit
  }
  const isWrong = (value: number | undefined) => value !== undefined && !(Number.isInteger(value) && value > 0)
  const wrong = Object.entries(numbers).filter(([, value]) => isWrong(value))
  if (wrong.length === 0) return undefined
  return wrong.map(([name, value]) => `${name}: found ${value}, allowed a whole number of at least 1`).join('\n')
}

function reportUsageError (output: Output, input: readonly string[], problem: string | undefined): ExitReason {
  const usages = commands.map(command => command.usage)
  const text = problem ?? `unknown command "${input.join(' ')}"; expected one of:\n  ${usages.join('\n  ')}`
  output.writeProblem({ usage: text }, text)
  return 'usage'
}

function toContext (
  client: NodeClient, output: Output, streams: Streams, flags: Flags, args: readonly string[]
): CommandContext {
  const options: CommandOptions = flags
  return { client, output, streams, options, args, readFile: async file => await readFile(file, 'utf8') }
}
