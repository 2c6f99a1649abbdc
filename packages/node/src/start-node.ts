/** Composition root: creates the adapters and starts the node. */
import { randomInt } from 'node:crypto'
import { mkdir } from 'node:fs/promises'
import { join } from 'node:path'
import { Encoder } from 'cbor-x'
import { Random, type Clock, type EventLog } from '@comfreygrade/core'
import { defaultReplicaSettings, type VoterId } from '@comfreygrade/consensus'
import { defaultControlSettings, type ControlCommand, type ControlSnapshot } from '@comfreygrade/control'
import { defaultPlacementSettings } from '@comfreygrade/placement'
import { defaultRoutingSettings } from '@comfreygrade/routing'
import { ControlService, SnapshotCodec } from './control-service.js'
import { readOrCreateDiskId } from './disk-id.js'
import { FileLog } from './file-log.js'
import { Node, type ControlFactory } from './node.js'
import { PlacementValidator, SchedulerAdapter } from './scheduler-adapter.js'
import { mergeOverrides, type Settings } from './settings.js'
import { StatsdMetrics } from './statsd-metrics.js'
import { SystemClock } from './system-clock.js'
import { RoarrEventLog } from './roarr-event-log.js'
import { WorkerClient } from './worker-client.js'

/** Encodes a snapshot as a single CBOR value. */
class CborSnapshotCodec extends SnapshotCodec {
  readonly #codec = new Encoder({ useRecords: false, mapsAsObjects: true })

  override encode (snapshot: ControlSnapshot): Uint8Array {
    return this.#codec.encode(snapshot)
  }

  override decode (content: Uint8Array): ControlSnapshot {
    return this.#codec.decode(content) as ControlSnapshot
  }
}

interface Adapters {
  readonly clock: Clock
  readonly random: Random
  readonly metrics: StatsdMetrics
  readonly log: EventLog
}

/**
 * Starts a node from validated settings.
 *
 * @param failed called when the storage or the replica fails; the process must then exit
 */
export async function startNode (settings: Settings, failed: (error: unknown) => void): Promise<Node> {
  const { nodeId } = settings.node
  const adapters = {
    clock: new SystemClock(),
    random: new Random(randomInt(2 ** 31)),
    metrics: new StatsdMetrics(settings.metrics, nodeId),
    log: new RoarrEventLog(nodeId)
  }
  const node = new Node({
    settings,
    routingSettings: mergeOverrides(defaultRoutingSettings, settings.routing),
    ...adapters,
    createControl: await prepareControlFactory(settings, adapters, failed)
  })
  await node.start()
  return node
}

/** Recovers the log and returns the factory of the control service; undefined on a node without the control role. */
async function prepareControlFactory (
  settings: Settings,
  adapters: Adapters,
  failed: (error: unknown) => void
): Promise<ControlFactory | undefined> {
  const { node, peers, timing, storage } = settings
  if (!node.roles.includes('control') || node.dataFolder === undefined) return undefined
  const folder = join(node.dataFolder, 'log')
  await mkdir(folder, { recursive: true })
  const self: VoterId = { nodeId: node.nodeId, diskId: await readOrCreateDiskId(folder) }
  const fileLog = new FileLog<ControlCommand>(folder)
  const recovered = await fileLog.recover()
  const isInitialised = recovered.snapshot !== null || recovered.entries.length > 0
  const placementSettings = mergeOverrides(defaultPlacementSettings, settings.placement)
  return connections => new ControlService({
    self,
    nodeIds: peers.nodes.map(peer => peer.nodeId),
    controlNodeIds: peers.nodes.filter(peer => peer.roles.includes('control')).map(peer => peer.nodeId),
    storage: fileLog,
    recovered: isInitialised ? recovered : null,
    snapshotCodec: new CborSnapshotCodec(),
    snapshotAfterEntries: storage.snapshotAfterEntries,
    snapshotAfterBytes: storage.snapshotAfterBytes,
    configurationLeaseMs: timing.configurationLeaseMs,
    replicaSettings: mergeOverrides(defaultReplicaSettings, settings.consensus),
    controlSettings: mergeOverrides(defaultControlSettings, settings.control),
    createScheduler: () => new SchedulerAdapter(placementSettings),
    validator: new PlacementValidator(),
    workerClient: new WorkerClient(timing.orderTimeoutMs),
    ...adapters,
    ...connections,
    failed
  })
}
