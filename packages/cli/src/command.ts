/** Base classes of the commands. */
import type { ExitReason } from './exit.js'
import type { NodeClient } from './node-client.js'
import type { Output, Streams } from './output.js'
import { type ValidationResult, formatFileProblem } from '@comfreygrade/documents'

/** Parsed flags of the command line. */
export interface CommandOptions {
  readonly json: boolean
  readonly phase?: string
  readonly organisation?: string
  readonly limit?: number
  readonly key?: string
  readonly nonRepeatable: boolean
  readonly deadlineMs?: number
  readonly requestClass?: string
  readonly contentType?: string
  readonly intervalMs: number
  readonly withNode: boolean
  readonly address?: string
  readonly timeoutMs: number
  readonly against?: string
}

/** Everything that a command can use. */
export interface CommandContext {
  readonly client: NodeClient
  readonly output: Output
  readonly streams: Streams
  readonly options: CommandOptions
  /** Positional arguments, in the order of `parameters`. */
  readonly args: readonly string[]
  readFile (file: string): Promise<string>
}

/** One command, for example `config apply FILE`. */
export abstract class Command {
  /** Words that select the command. */
  abstract readonly words: readonly string[]
  /** Names of the positional arguments that follow the words. */
  readonly parameters: readonly string[] = []
  /** One-line description in the help text. */
  abstract readonly summary: string

  /** Runs the command; throws a `ClientError` when a call to a node fails, which the caller reports. */
  abstract run (context: CommandContext): Promise<ExitReason>

  /** Synopsis in the help text. */
  get usage (): string {
    return [...this.words, ...this.parameters].join(' ')
  }
}

/** A command that makes one call to a node and shows the response. */
export abstract class SingleCallCommand<T> extends Command {
  override async run (context: CommandContext): Promise<ExitReason> {
    const response = await this.fetch(context)
    context.output.writeResult(response, () => this.render(response, context))
    return 'done'
  }

  protected abstract fetch (context: CommandContext): Promise<T>
  /** Formats the response as text. */
  protected abstract render (response: T, context: CommandContext): string
}

/** A command whose first argument is a file or `-` for stdin; exits with `usage` when it is missing or invalid. */
export abstract class FileCommand<T> extends Command {
  override readonly parameters: readonly string[] = ['FILE']

  override async run (context: CommandContext): Promise<ExitReason> {
    const value = await readInput(context, context.args[0] ?? '', (file, text) => this.parse(file, text))
    return value === undefined ? 'usage' : await this.runWith(value, context)
  }

  protected abstract parse (file: string, text: string): ValidationResult<T>
  protected abstract runWith (value: T, context: CommandContext): Promise<ExitReason>
}

/**
 * Reads a file (`-` is stdin), and reports why it cannot be read.
 *
 * @returns undefined when the file cannot be read
 */
export async function readTextInput (
  { output, streams, readFile }: CommandContext, file: string
): Promise<string | undefined> {
  try {
    return file === '-' ? (await streams.readStdin()).toString('utf8') : await readFile(file)
  } catch (error) {
    output.writeProblem({ problems: [{ file, detail: String(error) }] }, `${file}: ${String(error)}`)
    return undefined
  }
}

/**
 * Reads and parses a file (`-` is stdin) and reports all errors in it.
 *
 * @returns undefined when the file is missing or invalid
 */
async function readInput<T> (
  context: CommandContext, file: string, parse: (file: string, text: string) => ValidationResult<T>
): Promise<T | undefined> {
  const text = await readTextInput(context, file)
  if (text === undefined) return undefined
  const result = parse(file, text)
  if (result.kind === 'valid') return result.value
  context.output.writeProblem({ problems: result.problems }, result.problems.map(formatFileProblem).join('\n'))
  return undefined
}
