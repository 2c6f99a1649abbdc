/** Configurations for tests, and a reference model of cells and guarantees that shares no code with the scheduler. */
import type { Configuration, Guarantee, Organisation, Rack, Worker } from '@comfreygrade/core'
import { defaultRules } from '@comfreygrade/core'

/** Number of workers in a test rack, at positions from 0, and of accelerators in each. */
export interface TestRack { readonly workers: number, readonly accelerators: number }

/**
 * A configuration with workers `r0w0`, `r0w1`, … of rack `r0` and so on, and guarantees `g0`, `g1`, … Organisations are
 * `o1`, which also has the guarantees, and `o2`, unless the overrides say otherwise.
 */
export function testConfiguration (
  racks: readonly TestRack[],
  guarantees: ReadonlyArray<Partial<Guarantee>> = [],
  organisations: ReadonlyArray<Partial<Organisation>> = [{}, { organisationId: 'o2' }]
): Configuration {
  const workers: Worker[] = racks.flatMap((rack, rackIndex) => Array.from({ length: rack.workers }, (_, position) => ({
    workerId: `r${rackIndex}w${position}`,
    rackId: `r${rackIndex}`,
    rackPosition: position,
    cores: 64,
    memoryGb: 256,
    acceleratorModel: 'gpu',
    accelerators: rack.accelerators
  })))
  const rackRecords: Rack[] = racks.map((_, index) => ({ rackId: `r${index}`, region: 'salto', availabilityZone: 'a' }))
  const organisationRecords = organisations.map(overrides => (
    { organisationId: 'o1', quotaAccelerators: 1000, weight: 1, ...overrides }))
  const guaranteeBase = { organisationId: 'o1', acceleratorModel: 'gpu', acceleratorsPerCell: 1, cells: 1 }
  const guaranteeRecords = guarantees.map((overrides, index) => (
    { guaranteeId: `g${index}`, ...guaranteeBase, ...overrides }))
  return {
    version: 1,
    racks: new Map(rackRecords.map(rack => [rack.rackId, rack])),
    workers: new Map(workers.map(worker => [worker.workerId, worker])),
    organisations: new Map(organisationRecords.map(record => [record.organisationId, record])),
    guarantees: new Map(guaranteeRecords.map(record => [record.guaranteeId, record])),
    rules: defaultRules
  }
}

/** Every cell of `size` accelerators as a list of accelerator names such as `r0w1#3`. */
export function cellsOfSize (racks: readonly TestRack[], size: number): string[][] {
  return racks.flatMap((rack, rackIndex) => {
    const isPowerOfTwo = Number.isInteger(Math.log2(rack.accelerators))
    const cellRanges = isPowerOfTwo
      ? [Array.from({ length: rack.workers * rack.accelerators }, (_, offset) =>
          `r${rackIndex}w${Math.floor(offset / rack.accelerators)}#${offset % rack.accelerators}`)]
      : Array.from({ length: rack.workers }, (_, worker) =>
        Array.from({ length: rack.accelerators }, (_, offset) => `r${rackIndex}w${worker}#${offset}`))
    return cellRanges.flatMap(range => alignedBlocks(range, size))
  })
}

function alignedBlocks (range: string[], size: number): string[][] {
  const blocks: string[][] = []
  for (let start = 0; start + size <= range.length; start += size) blocks.push(range.slice(start, start + size))
  return blocks
}

/** Whether disjoint cells of the given sizes fit into the accelerators that are not taken. */
export function fitsByExhaustiveSearch (
  racks: readonly TestRack[], taken: ReadonlySet<string>, sizes: readonly number[]
): boolean {
  const [size, ...rest] = [...sizes].sort((left, right) => right - left)
  if (size === undefined) return true
  for (const cell of cellsOfSize(racks, size)) {
    if (cell.some(accelerator => taken.has(accelerator))) continue
    if (fitsByExhaustiveSearch(racks, new Set([...taken, ...cell]), rest)) return true
  }
  return false
}
