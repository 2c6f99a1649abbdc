/** Validates a configuration file without a node: schema, duplicates and references, with all errors at once. */
import { applyChange, type ConfigurationDocument, configurationDocumentSchema, diffDocument, emptyConfiguration } from '@comfreygrade/core'
import { type FieldProblem, type ValidationResult, parseYaml } from '@comfreygrade/documents'

/**
 * Parses and validates the inventory and rules that operators edit.
 *
 * @example
 * const result = parseConfigurationFile('inventory.yaml', await readFile('inventory.yaml', 'utf8'))
 * if (result.kind === 'valid') console.log(result.value.workers.length)
 */
export function parseConfigurationFile (file: string, text: string): ValidationResult<ConfigurationDocument> {
  return parseYaml(file, text, configurationDocumentSchema, validateDocument)
}

function validateDocument (document: ConfigurationDocument): FieldProblem[] {
  const problems = [
    ...findDuplicates('racks', 'rackId', document.racks.map(rack => rack.rackId)),
    ...findDuplicates('workers', 'workerId', document.workers.map(worker => worker.workerId)),
    ...findDuplicates('organisations', 'organisationId', document.organisations.map(({ organisationId }) => organisationId)),
    ...findDuplicates('guarantees', 'guaranteeId', document.guarantees.map(guarantee => guarantee.guaranteeId)),
    ...findDuplicates('workers', 'rackPosition', document.workers.map(worker => `${worker.rackPosition} of rack ${worker.rackId}`)),
    ...findUnknownRackReferences(document),
    ...findUnknownOrganisationReferences(document)
  ]
  return problems.length > 0 ? problems : validateAsChange(document)
}

function findDuplicates (list: string, field: string, values: readonly string[]): FieldProblem[] {
  const problems: FieldProblem[] = []
  const firstIndexByValue = new Map<string, number>()
  for (const [index, value] of values.entries()) {
    const firstIndex = firstIndexByValue.get(value)
    if (firstIndex === undefined) firstIndexByValue.set(value, index)
    else problems.push({ path: [list, index, field], found: `duplicate ${value}`, allowed: `a value other than that of ${list}[${firstIndex}]` })
  }
  return problems
}

function findUnknownRackReferences ({ racks, workers }: ConfigurationDocument): FieldProblem[] {
  const known = new Set(racks.map(rack => rack.rackId))
  return workers.flatMap(({ rackId }, index) => known.has(rackId)
    ? []
    : [{ path: ['workers', index, 'rackId'], found: `"${rackId}"`, allowed: 'the rackId of an entry in racks' }])
}

function findUnknownOrganisationReferences ({ organisations, guarantees }: ConfigurationDocument): FieldProblem[] {
  const known = new Set(organisations.map(organisation => organisation.organisationId))
  return guarantees.flatMap(({ organisationId }, index) => known.has(organisationId)
    ? []
    : [{ path: ['guarantees', index, 'organisationId'], found: `"${organisationId}"`, allowed: 'the organisationId of an entry in organisations' }])
}

/** Runs the checks that a node makes on a change, so that a valid file has no reference that a node finds broken. */
function validateAsChange (document: ConfigurationDocument): FieldProblem[] {
  const empty = emptyConfiguration()
  const result = applyChange(empty, diffDocument(empty, document))
  return result.ok ? [] : [{ path: [], found: result.failure.detail, allowed: 'a consistent document' }]
}
