/** What every command of the command line has in common. */
import type { ExitReason } from './exit.js'
import type { NodeClient } from './node-client.js'
import type { Output, Streams } from './output.js'
import { type FileReading, formatFileProblem } from './yaml-file.js'

/** Options of the command line. */
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
}

/** What a command works with. */
export interface CommandContext {
  readonly client: NodeClient
  readonly output: Output
  readonly streams: Streams
  readonly options: CommandOptions
  /** Values of `parameters`, in their order. */
  readonly values: readonly string[]
  readFile (file: string): Promise<string>
}

/** One command, for example `config apply FILE`. */
export abstract class Command {
  /** Words that select the command. */
  abstract readonly words: readonly string[]
  /** Names of what follows the words. */
  readonly parameters: readonly string[] = []
  /** One line for the help page. */
  abstract readonly summary: string

  /** Carries the command out; a failed call is thrown as a `ClientError` and reported by the caller. */
  abstract run (context: CommandContext): Promise<ExitReason>

  /** Form of the command for the help page. */
  get usage (): string {
    return [...this.words, ...this.parameters].join(' ')
  }
}

/**
 * Reads a file (`-` is stdin) and reports all of its problems.
 *
 * @returns undefined where the file is missing or invalid
 */
export async function readInput<T> (
  { output, streams, readFile }: CommandContext, file: string, parse: (file: string, text: string) => FileReading<T>
): Promise<T | undefined> {
  try {
    const text = file === '-' ? (await streams.readStdin()).toString('utf8') : await readFile(file)
    const reading = parse(file, text)
    if (reading.kind === 'valid') return reading.value
    output.problem({ problems: reading.problems }, reading.problems.map(formatFileProblem).join('\n'))
  } catch (error) {
    output.problem({ problems: [{ file, detail: String(error) }] }, `${file}: ${String(error)}`)
  }
  return undefined
}
