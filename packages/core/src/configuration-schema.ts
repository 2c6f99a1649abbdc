/** Schemas and types of configuration records, configuration changes and the configuration document. */
import { z } from 'zod'

/** Identifiers appear in URL paths, metrics and logs, so only a few characters are allowed. */
const identifier = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/)

const rackSchema = z.strictObject({
  rackId: identifier,
  region: identifier,
  availabilityZone: identifier
})

const workerSchema = z.strictObject({
  workerId: identifier,
  rackId: identifier,
  /** Position in the rack, from 0; workers at adjacent positions form cells. */
  rackPosition: z.int().min(0).max(255),
  cores: z.int().min(1).max(4096),
  memoryGb: z.int().min(1).max(65_536),
  acceleratorModel: identifier,
  accelerators: z.int().min(1).max(64)
})

const organisationSchema = z.strictObject({
  organisationId: identifier,
  /**
   * Maximum number of accelerators in use by the organisation at any time, including lent ones (see `CapacityClass`).
   */
  quotaAccelerators: z.int().min(0).max(1_000_000),
  /** Weight in the fair sharing of request slots and in the order of waiting jobs, relative to other organisations. */
  weight: z.number().min(0.01).max(1000)
})

const guaranteeSchema = z.strictObject({
  guaranteeId: identifier,
  organisationId: identifier,
  acceleratorModel: identifier,
  /**
   * Number of adjacent accelerators in one guaranteed cell; a power of two. A cell larger than a worker spans several
   * workers of one rack.
   */
  acceleratorsPerCell: z.int().min(1).max(65_536).refine(count => (count & (count - 1)) === 0, 'must be a power of two'),
  /** Number of guaranteed cells. */
  cells: z.int().min(1).max(100_000)
})

const rulesSchema = z.strictObject({
  /** Maximum number of tasks of a gang job. */
  maxGangTasks: z.int().min(1).max(64),
  /**
   * Time limit for reclaiming lent capacity (see `CapacityClass`), counted from the time at which its job is asked to
   * stop.
   */
  reclaimWithinMs: z.int().min(100).max(600_000),
  maxRequestBodyBytes: z.int().min(1).max(64 * 1024 * 1024),
  /** Time limit of a short request, counted from its arrival, if the caller states none. */
  defaultDeadlineMs: z.int().min(1).max(600_000),
  /** Maximum time limit that a caller may state for a short request. */
  maxDeadlineMs: z.int().min(1).max(3_600_000)
})

/** A rack and its region and availability zone. */
export type Rack = z.infer<typeof rackSchema>
/** A worker VM as listed in the asset register. */
export type Worker = z.infer<typeof workerSchema>
/** An organisation, or a team with a quota. */
export type Organisation = z.infer<typeof organisationSchema>
/** A number of cells guaranteed to an organisation. */
export type Guarantee = z.infer<typeof guaranteeSchema>
/** Limits and defaults that operators set for the whole system. */
export type Rules = z.infer<typeof rulesSchema>

/** Kinds of configuration records that have an identifier. */
export type RecordKind = 'rack' | 'worker' | 'organisation' | 'guarantee'

const upsertSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('rack'), record: rackSchema }),
  z.strictObject({ kind: z.literal('worker'), record: workerSchema }),
  z.strictObject({ kind: z.literal('organisation'), record: organisationSchema }),
  z.strictObject({ kind: z.literal('guarantee'), record: guaranteeSchema }),
  z.strictObject({ kind: z.literal('rules'), record: rulesSchema })
])

const removeSchema = z.strictObject({
  kind: z.enum(['rack', 'worker', 'organisation', 'guarantee']),
  id: identifier
})

/** Schema of a configuration change. */
export const configurationChangeSchema = z.strictObject({
  version: z.int().min(1),
  baseVersion: z.int().min(0),
  upserts: z.array(upsertSchema),
  removes: z.array(removeSchema)
})

/** Schema of the configuration document that operators edit. */
export const configurationDocumentSchema = z.strictObject({
  racks: z.array(rackSchema),
  workers: z.array(workerSchema),
  organisations: z.array(organisationSchema),
  guarantees: z.array(guaranteeSchema),
  rules: rulesSchema
})

/** A change from `baseVersion` to `version`, which must be `baseVersion` plus 1. */
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>
/** The complete inventory and rules as one document. */
export type ConfigurationDocument = z.infer<typeof configurationDocumentSchema>
/** A record to add or replace. */
export type Upsert = z.infer<typeof upsertSchema>
/** A record to remove. */
export type Remove = z.infer<typeof removeSchema>
