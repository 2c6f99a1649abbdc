/** Entries of a valid configuration that can never have an effect, and limits that contradict each other. */
import type { ConfigurationDocument, Guarantee } from '@comfreygrade/core'
import type { FieldPath } from '@comfreygrade/documents'

/**
 * Kind of a finding: an entry that nothing can match, a guarantee that the fleet cannot hold, or two limits of which
 * one can never be reached or never be met.
 */
export type FindingKind = 'never_matches' | 'exceeds_fleet' | 'contradiction'

/** A finding with the path of the entry that it is about. */
export interface ConfigurationFinding {
  readonly kind: FindingKind
  readonly path: FieldPath
  readonly detail: string
}

/**
 * Finds entries that can never have an effect in a document that is valid in itself.
 *
 * @example
 * for (const { path, detail } of findConfigurationFindings(document)) report(path, detail)
 */
export function findConfigurationFindings (document: ConfigurationDocument): ConfigurationFinding[] {
  return [
    ...findEmptyRacks(document),
    ...findZonesInSeveralRegions(document),
    ...findGuaranteesOfMissingModels(document),
    ...findTooLargeCells(document),
    ...findTooLargeGuarantees(document),
    ...findGuaranteesBeyondQuotas(document),
    ...findQuotasBeyondFleet(document)
  ]
}

function findEmptyRacks ({ racks, workers }: ConfigurationDocument): ConfigurationFinding[] {
  const used = new Set(workers.map(worker => worker.rackId))
  return racks.flatMap(({ rackId }, index) => used.has(rackId)
    ? []
    : [{ kind: 'never_matches', path: ['racks', index], detail: `rack ${rackId} has no workers` }])
}

function findZonesInSeveralRegions ({ racks }: ConfigurationDocument): ConfigurationFinding[] {
  const regions = new Map<string, string>()
  return racks.flatMap(({ availabilityZone, region }, index) => {
    const other = regions.get(availabilityZone) ?? region
    regions.set(availabilityZone, other)
    if (other === region) return []
    const detail = `zone ${availabilityZone} is in region ${region} here and in region ${other} of an earlier rack`
    return [{ kind: 'contradiction', path: ['racks', index, 'region'], detail }]
  })
}

function findGuaranteesOfMissingModels ({ guarantees, workers }: ConfigurationDocument): ConfigurationFinding[] {
  const models = new Set(workers.map(worker => worker.acceleratorModel))
  return guarantees.flatMap(({ acceleratorModel }, index) => models.has(acceleratorModel)
    ? []
    : [{
        kind: 'never_matches',
        path: ['guarantees', index, 'acceleratorModel'],
        detail: `no worker has accelerators of model ${acceleratorModel}`
      }])
}

/** A cell is within one rack. */
function findTooLargeCells ({ guarantees, workers }: ConfigurationDocument): ConfigurationFinding[] {
  const byRack = new Map<string, number>()
  for (const { rackId, acceleratorModel, accelerators } of workers) add(byRack, `${acceleratorModel}/${rackId}`, accelerators)
  return guarantees.flatMap(({ acceleratorModel, acceleratorsPerCell }, index) => {
    const ofModel = [...byRack].filter(([key]) => key.startsWith(`${acceleratorModel}/`)).map(([, count]) => count)
    const largest = Math.max(0, ...ofModel)
    if (largest === 0 || acceleratorsPerCell <= largest) return []
    const detail = `a cell has ${acceleratorsPerCell} accelerators, but no rack has more than ${largest} of this model`
    return [{ kind: 'exceeds_fleet', path: ['guarantees', index, 'acceleratorsPerCell'], detail }]
  })
}

/** Reports the guarantee with which those of its model exceed the fleet. */
function findTooLargeGuarantees ({ guarantees, workers }: ConfigurationDocument): ConfigurationFinding[] {
  const available = new Map<string, number>()
  for (const { acceleratorModel, accelerators } of workers) add(available, acceleratorModel, accelerators)
  const guaranteed = new Map<string, number>()
  return guarantees.flatMap((guarantee, index) => {
    const { acceleratorModel } = guarantee
    const fleet = available.get(acceleratorModel)
    const sum = add(guaranteed, acceleratorModel, acceleratorsOf(guarantee))
    if (fleet === undefined || sum <= fleet) return []
    const detail = `the guarantees of model ${acceleratorModel} up to this one are ${sum} accelerators, the fleet has ${fleet}`
    return [{ kind: 'exceeds_fleet', path: ['guarantees', index, 'cells'], detail }]
  })
}

function findGuaranteesBeyondQuotas ({ organisations, guarantees }: ConfigurationDocument): ConfigurationFinding[] {
  const guaranteed = new Map<string, number>()
  for (const guarantee of guarantees) add(guaranteed, guarantee.organisationId, acceleratorsOf(guarantee))
  return organisations.flatMap(({ organisationId, quotaAccelerators }, index) => {
    const sum = guaranteed.get(organisationId) ?? 0
    if (sum <= quotaAccelerators) return []
    const detail = `${organisationId} may use ${quotaAccelerators} accelerators, but is guaranteed ${sum}`
    return [{ kind: 'contradiction', path: ['organisations', index, 'quotaAccelerators'], detail }]
  })
}

function findQuotasBeyondFleet ({ organisations, workers }: ConfigurationDocument): ConfigurationFinding[] {
  const fleet = workers.reduce((sum, { accelerators }) => sum + accelerators, 0)
  return organisations.flatMap(({ quotaAccelerators }, index) => quotaAccelerators <= fleet
    ? []
    : [{
        kind: 'never_matches',
        path: ['organisations', index, 'quotaAccelerators'],
        detail: `a quota of ${quotaAccelerators} accelerators never applies, since the fleet has ${fleet}`
      }])
}

function acceleratorsOf ({ acceleratorsPerCell, cells }: Guarantee): number {
  return acceleratorsPerCell * cells
}

function add (sums: Map<string, number>, key: string, count: number): number {
  const sum = (sums.get(key) ?? 0) + count
  sums.set(key, sum)
  return sum
}
