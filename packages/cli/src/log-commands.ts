/** `log explain`. */
import { Command, readTextInput, type CommandContext } from './command.js'
import type { ExitReason } from './exit.js'
import { explainFromLog, parseLogLine, type LogExplanation, type LogLine } from './log-explainer.js'

/** `log explain ID FILE|-`. */
export class LogExplainCommand extends Command {
  override readonly words = ['log', 'explain']
  override readonly parameters = ['ID', 'FILE|-']
  override readonly summary = 'show what the logs of the processes say about a batch job, step or task'

  override async run (context: CommandContext): Promise<ExitReason> {
    const [id = '', file = ''] = context.args
    const text = await readTextInput(context, file)
    if (text === undefined) return 'usage'
    const explanation = explainFromLog(text.split('\n').flatMap(line => parseLogLine(line) ?? []), id)
    context.output.writeResult(explanation, () => renderLogExplanation(explanation))
    return explanation.lines.length === 0 ? 'refused' : 'done'
  }
}

function renderLogExplanation ({ lines, conclusions }: LogExplanation): string {
  const firstMs = lines[0]?.timeMs ?? 0
  return [...lines.map(line => renderLine(line, firstMs)), ...conclusions].join('\n')
}

/** Times count from the first line. */
function renderLine ({ timeMs, nodeId, message, fields }: LogLine, firstMs: number): string {
  const values = Object.entries(fields).map(([name, value]) => `${name}=${formatValue(value)}`)
  return `${((timeMs - firstMs) / 1_000).toFixed(3).padStart(9)} s  ${nodeId}  ${message}  ${values.join(' ')}`
}

function formatValue (value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value)
}
