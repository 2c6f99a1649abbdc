/** `config check|diff|apply|show|status`. */
import {
  type Configuration, type ConfigurationChange, type ConfigurationDocument, diffDocument,
  fromDocument, type Upsert
} from '@comfreygrade/core'
import type { ValidationResult } from '@comfreygrade/documents'
import { stringify } from 'yaml'
import type { ConfigurationResponse, ConfigurationStatusResponse } from './api-types.js'
import { ClientError } from './client-error.js'
import { type CommandContext, FileCommand, SingleCallCommand } from './command.js'
import { parseConfigurationFile } from './configuration-file.js'
import { type ExitReason, exitReasonOf } from './exit.js'
import type { NodeClient } from './node-client.js'
import { renderTable } from './tables.js'

/** A command whose argument is a configuration file. */
abstract class ConfigurationFileCommand extends FileCommand<ConfigurationDocument> {
  protected override parse (file: string, text: string): ValidationResult<ConfigurationDocument> {
    return parseConfigurationFile(file, text)
  }
}

/** `config check FILE`: validates the file locally; with `--with-node` also by a dry run on a node. */
export class ConfigCheckCommand extends ConfigurationFileCommand {
  override readonly words = ['config', 'check']
  override readonly summary = 'check a configuration file; --with-node also asks a node whether it would be accepted'

  protected override async runWith (document: ConfigurationDocument, context: CommandContext): Promise<ExitReason> {
    if (context.options.withNode) await dryRun(context.client, await computeChange(context.client, document))
    const counts = countRecords(document)
    context.output.writeResult({ isValid: true, ...counts }, () => `${context.args[0]} is valid: ${describeCounts(counts)}`)
    return 'done'
  }
}

/** `config diff FILE`: shows what `apply` would change and checks by a dry run whether a node accepts it. */
export class ConfigDiffCommand extends ConfigurationFileCommand {
  override readonly words = ['config', 'diff']
  override readonly summary = 'show what apply would change and whether it would be accepted'

  protected override async runWith (document: ConfigurationDocument, context: CommandContext): Promise<ExitReason> {
    const current = await fetchCurrentConfiguration(context.client)
    const change = diffDocument(current, document)
    context.output.writeResult({ change }, () => renderChange(current, change))
    await dryRun(context.client, change)
    return 'done'
  }
}

/** `config apply FILE`: replaces the configuration in force with the file. */
export class ConfigApplyCommand extends ConfigurationFileCommand {
  override readonly words = ['config', 'apply']
  override readonly summary = 'apply a configuration file'

  protected override async runWith (document: ConfigurationDocument, context: CommandContext): Promise<ExitReason> {
    try {
      const result = await applyDocument(context.client, document)
      context.output.writeResult(result, () => describeApplyResult(result))
      return 'done'
    } catch (error) {
      return await reportConflict(context, document, error)
    }
  }
}

/** `config show`. */
export class ConfigShowCommand extends SingleCallCommand<ConfigurationResponse> {
  override readonly words = ['config', 'show']
  override readonly summary = 'print the configuration in force as YAML that apply accepts'

  protected override async fetch ({ client }: CommandContext): Promise<ConfigurationResponse> {
    return await client.configuration()
  }

  protected override render ({ version, document }: ConfigurationResponse): string {
    return `# version ${version}\n${stringify(document).trimEnd()}`
  }
}

/** `config status`. */
export class ConfigStatusCommand extends SingleCallCommand<ConfigurationStatusResponse> {
  override readonly words = ['config', 'status']
  override readonly summary = 'show on which nodes the configuration is in force'

  protected override async fetch ({ client }: CommandContext): Promise<ConfigurationStatusResponse> {
    return await client.configurationStatus()
  }

  protected override render ({ version, isInForceEverywhere, nodes }: ConfigurationStatusResponse): string {
    const rows = nodes.map(node => [node.nodeId, node.acknowledgedVersion, node.hasLease ? 'yes' : 'no'])
    const scope = isInForceEverywhere ? 'on every serving node' : 'not yet on every serving node'
    return `version ${version}, in force ${scope}\n${renderTable(['node', 'acknowledged', 'lease'], rows)}`
  }
}

/** Result of {@link applyDocument}. */
export interface ApplyResult {
  readonly version: number
  readonly changedRecords: number
}

/**
 * Computes the change from the configuration in force to the document and sends it. When a response is lost, the
 * transport retries the same change, to which a node gives the same response.
 *
 * @example
 * await applyDocument(client, document) // { version: 4, changedRecords: 2 }
 */
export async function applyDocument (client: NodeClient, document: ConfigurationDocument): Promise<ApplyResult> {
  const change = await computeChange(client, document)
  if (isEmptyChange(change)) return { version: change.baseVersion, changedRecords: 0 }
  const { version } = await client.applyChange(change)
  return { version, changedRecords: countChanges(change) }
}

async function fetchCurrentConfiguration (client: NodeClient): Promise<Configuration> {
  const { version, document } = await client.configuration()
  return fromDocument(document, version)
}

async function computeChange (client: NodeClient, document: ConfigurationDocument): Promise<ConfigurationChange> {
  return diffDocument(await fetchCurrentConfiguration(client), document)
}

/** Throws when a node would refuse the change. */
async function dryRun (client: NodeClient, change: ConfigurationChange): Promise<void> {
  if (!isEmptyChange(change)) await client.applyChange(change, true)
}

/**
 * Reports a conflict: the change is not based on the version in force, so the error includes that version and how the
 * file differs from it. Rethrows every other error.
 */
async function reportConflict (
  { client, output }: CommandContext, document: ConfigurationDocument, error: unknown
): Promise<ExitReason> {
  if (!(error instanceof ClientError) || exitReasonOf(error.problem) !== 'conflict') throw error
  const current = await fetchCurrentConfiguration(client)
  const change = diffDocument(current, document)
  output.writeProblem({ problem: error.problem, versionInForce: current.version, change },
    `${error.message}\nversion ${current.version} is in force; the file differs from it in:\n${renderChange(current, change)}`)
  return 'conflict'
}

function isEmptyChange (change: ConfigurationChange): boolean {
  return countChanges(change) === 0
}

function countChanges ({ upserts, removes }: ConfigurationChange): number {
  return upserts.length + removes.length
}

function describeApplyResult ({ version, changedRecords }: ApplyResult): string {
  if (changedRecords === 0) return `nothing to change, version ${version} is in force`
  return `version ${version} accepted, ${changedRecords} records changed`
}

function countRecords (document: ConfigurationDocument): Record<string, number> {
  const { racks, workers, organisations, guarantees } = document
  return {
    racks: racks.length, workers: workers.length, organisations: organisations.length, guarantees: guarantees.length
  }
}

function describeCounts (counts: Readonly<Record<string, number>>): string {
  return Object.entries(counts).map(([name, count]) => `${count} ${name}`).join(', ')
}

/** Renders a change as a table, with the old values of changed fields. */
export function renderChange (current: Configuration, change: ConfigurationChange): string {
  if (isEmptyChange(change)) return `no difference from version ${current.version}`
  const removeRows = change.removes.map(({ kind, id }) => ['remove', kind, id, ''])
  const upsertRows = change.upserts.map(upsert => describeUpsert(current, upsert))
  return renderTable(['change', 'kind', 'id', 'fields'], [...removeRows, ...upsertRows])
}

function describeUpsert (current: Configuration, upsert: Upsert): string[] {
  const { id, existing } = findExisting(current, upsert)
  const fields = Object.entries(upsert.record)
    .filter(([name, value]) => existing === undefined || Reflect.get(existing, name) !== value)
    .map(([name, value]) => existing === undefined ? `${name}=${value}` : `${name}: ${Reflect.get(existing, name)} -> ${value}`)
  return [existing === undefined ? 'add' : 'replace', upsert.kind, id, fields.join(', ')]
}

function findExisting (current: Configuration, upsert: Upsert): { id: string, existing: object | undefined } {
  switch (upsert.kind) {
    case 'rack': return { id: upsert.record.rackId, existing: current.racks.get(upsert.record.rackId) }
    case 'worker': return { id: upsert.record.workerId, existing: current.workers.get(upsert.record.workerId) }
    case 'organisation': {
      const { organisationId } = upsert.record
      return { id: organisationId, existing: current.organisations.get(organisationId) }
    }
    case 'guarantee': {
      const { guaranteeId } = upsert.record
      return { id: guaranteeId, existing: current.guarantees.get(guaranteeId) }
    }
    case 'rules': return { id: 'rules', existing: current.rules }
  }
}
