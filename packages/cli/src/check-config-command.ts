/** `check-config FILE`: what is wrong with a configuration file, and how it differs from another; changes nothing. */
import { diffDocument, fromDocument, type ConfigurationChange, type ConfigurationDocument } from '@comfreygrade/core'
import { formatPath, locateFields } from '@comfreygrade/documents'
import { Command, readTextInput, type CommandContext } from './command.js'
import { renderChange } from './configuration-commands.js'
import { parseConfigurationFile } from './configuration-file.js'
import { findConfigurationFindings, type FindingKind } from './configuration-findings.js'
import type { ExitReason } from './exit.js'

/** One thing that is wrong with a file. */
export interface ConfigurationReport {
  readonly kind: 'error' | FindingKind
  readonly file: string
  readonly line: number
  readonly column: number
  readonly field: string
  readonly detail: string
}

interface CheckedFile {
  readonly reports: readonly ConfigurationReport[]
  /** Undefined where the file has errors. */
  readonly document?: ConfigurationDocument
}

/**
 * Exits with `usage` where a file cannot be read or has errors, with `refused` where entries can never have an effect
 * or contradict each other, and otherwise with `done`. Differences do not count.
 */
export class CheckConfigCommand extends Command {
  override readonly words = ['check-config']
  override readonly parameters = ['FILE']
  override readonly summary = 'list all errors of a configuration file, and entries that can never have an effect'

  override async run (context: CommandContext): Promise<ExitReason> {
    const checked = await checkFile(context, context.args[0] ?? '')
    const against = context.options.against
    const other = against === undefined ? undefined : await checkFile(context, against)
    if (checked === undefined || (against !== undefined && other === undefined)) return 'usage'
    const errorsOfOther = other?.reports.filter(report => report.kind === 'error') ?? []
    const reports = [...checked.reports, ...errorsOfOther]
    const change = changeBetween(other?.document, checked.document)
    context.output.writeResult({ reports, ...(change === undefined ? {} : { change }) },
      () => renderCheck(reports, other?.document, change))
    if (reports.some(report => report.kind === 'error')) return 'usage'
    return reports.length > 0 ? 'refused' : 'done'
  }
}

async function checkFile (context: CommandContext, file: string): Promise<CheckedFile | undefined> {
  const text = await readTextInput(context, file)
  return text === undefined ? undefined : checkText(file, text)
}

function checkText (file: string, text: string): CheckedFile {
  const result = parseConfigurationFile(file, text)
  if (result.kind === 'invalid') {
    return {
      reports: result.problems.map(({ found, allowed, ...place }) =>
        ({ kind: 'error', ...place, detail: `found ${found}, allowed ${allowed}` }))
    }
  }
  const findings = findConfigurationFindings(result.value)
  const positions = locateFields(text, findings.map(finding => finding.path))
  const reports = findings.map(({ kind, path, detail }, index) =>
    ({ kind, file, line: 1, column: 1, ...positions[index], field: formatPath(path), detail }))
  return { document: result.value, reports: reports.sort((left, right) => left.line - right.line) }
}

function changeBetween (
  from: ConfigurationDocument | undefined, to: ConfigurationDocument | undefined
): ConfigurationChange | undefined {
  return from === undefined || to === undefined ? undefined : diffDocument(fromDocument(from, 0), to)
}

function renderCheck (
  reports: readonly ConfigurationReport[], from: ConfigurationDocument | undefined,
  change: ConfigurationChange | undefined
): string {
  const lines = reports.map(({ kind, file, line, column, field, detail }) =>
    `${file}:${line}:${column}: ${kind}: ${field === '' ? '' : `${field}: `}${detail}`)
  if (lines.length === 0) lines.push('nothing found')
  if (from !== undefined && change !== undefined) lines.push(renderChange(fromDocument(from, 0), change))
  return lines.join('\n')
}
