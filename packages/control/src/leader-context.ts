/** Dependencies shared by the components of the control leader. */
import type { EventLog, Metrics } from '@comfreygrade/core'
import type { OrderOutbox } from './order-outbox.js'
import type { JobScheduler } from './ports.js'
import type { PendingProposals } from './pending-proposals.js'
import type { ControlSettings } from './settings.js'
import type { ControlState } from './state.js'
import type { WorkerSessions } from './worker-sessions.js'

/** Dependencies of one leader during its term. */
export interface LeaderContext {
  readonly term: number
  readonly state: ControlState
  readonly scheduler: JobScheduler
  readonly settings: ControlSettings
  readonly metrics: Metrics
  readonly log: EventLog
  readonly proposals: PendingProposals
  readonly outbox: OrderOutbox
  readonly sessions: WorkerSessions
}
