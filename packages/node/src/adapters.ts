/** Adapters shared with other processes of the system: links, storage, replica and clock. */
export { readOrCreateDiskId } from './disk-id.js'
export { FileLog } from './file-log.js'
export { PeerLinks, type PeerAddress } from './peer-links.js'
export type { LinkMessage } from './peer-messages.js'
export { ReplicaRunner } from './replica-runner.js'
export { SystemClock } from './system-clock.js'
export { ReplicatedStateMachine, StateMachine } from './replica-host.js'
