/** `fleet`, `queue`, `guarantees`, `drain`, `undrain` and `status`. */
import {
  type DrainKind, drainKinds, type FleetResponse, type GuaranteeSummary, type JobListResponse, type StatusResponse
} from './api-types.js'
import { Command, type CommandContext, SingleCallCommand } from './command.js'
import type { ExitReason } from './exit.js'
import { renderJobs } from './job-commands.js'
import { renderFields, renderSections, renderTable } from './tables.js'

/** `fleet`. */
export class FleetCommand extends SingleCallCommand<FleetResponse> {
  override readonly words = ['fleet']
  override readonly summary = 'show totals, workers, backend servers and drains'

  protected override async fetch ({ client }: CommandContext): Promise<FleetResponse> {
    return await client.fleet()
  }

  protected override render (fleet: FleetResponse): string {
    return renderFleet(fleet)
  }
}

/** `queue`. */
export class QueueCommand extends SingleCallCommand<JobListResponse> {
  override readonly words = ['queue']
  override readonly summary = 'list waiting jobs in the order in which they were queued'

  protected override async fetch ({ client }: CommandContext): Promise<JobListResponse> {
    return await client.queue()
  }

  protected override render ({ jobs, total }: JobListResponse): string {
    return renderJobs(jobs, total)
  }
}

interface GuaranteesResponse {
  readonly guarantees: readonly GuaranteeSummary[]
}

/** `guarantees`. */
export class GuaranteesCommand extends SingleCallCommand<GuaranteesResponse> {
  override readonly words = ['guarantees']
  override readonly summary = 'show cells, usage, lent and missing capacity of each guarantee'

  protected override async fetch ({ client }: CommandContext): Promise<GuaranteesResponse> {
    return { guarantees: await client.guarantees() }
  }

  protected override render ({ guarantees }: GuaranteesResponse): string {
    return renderGuarantees(guarantees)
  }
}

/** `status`. */
export class StatusCommand extends SingleCallCommand<StatusResponse> {
  override readonly words = ['status']
  override readonly summary = 'show the status and counters of the node that responds'

  protected override async fetch ({ client }: CommandContext): Promise<StatusResponse> {
    return await client.status()
  }

  protected override render (status: StatusResponse): string {
    return renderFields(status)
  }
}

/** A command that takes the kind and ID of a resource to drain. */
abstract class DrainTargetCommand extends Command {
  override readonly parameters = ['KIND', 'ID']

  override async run (context: CommandContext): Promise<ExitReason> {
    const [kind = '', id = ''] = context.args
    const drainKind = drainKinds.find(candidate => candidate === kind)
    if (drainKind === undefined) {
      context.output.writeProblem({ found: kind, allowed: drainKinds }, `unknown KIND "${kind}"; expected one of: ${drainKinds.join(', ')}`)
      return 'usage'
    }
    await this.applyTo(context, drainKind, id)
    return 'done'
  }

  protected abstract applyTo (context: CommandContext, kind: DrainKind, id: string): Promise<void>
}

/** `drain KIND ID`. */
export class DrainCommand extends DrainTargetCommand {
  override readonly words = ['drain']
  override readonly summary = `give a VM, worker or backend server no new work; KIND is ${drainKinds.join(', ')}`

  protected override async applyTo ({ client, output }: CommandContext, kind: DrainKind, id: string): Promise<void> {
    await client.drain({ kind, id })
    output.writeResult({ kind, id, isDraining: true }, () => `${kind} ${id} gets no new work`)
  }
}

/** `undrain KIND ID`. */
export class UndrainCommand extends DrainTargetCommand {
  override readonly words = ['undrain']
  override readonly summary = 'end a drain'

  protected override async applyTo ({ client, output }: CommandContext, kind: DrainKind, id: string): Promise<void> {
    await client.undrain({ kind, id })
    output.writeResult({ kind, id, isDraining: false }, () => `${kind} ${id} gets work again`)
  }
}

function renderFleet ({ report, workers, drains, backendServers }: FleetResponse): string {
  const { guarantees: _guarantees, ...totals } = report
  const workerRows = workers.map(({ workerId, state, tasks, address }) => [workerId, state, tasks, address])
  const serverRows = backendServers.map(server => (
    [server.backendServerId, server.state, server.availabilityZone, server.services.join(', '), server.slots, server.address]))
  return renderSections([
    ['Totals', renderFields(totals)],
    ['Workers', renderTable(['worker', 'state', 'tasks', 'address'], workerRows)],
    ['Backend servers', renderTable(['backend server', 'state', 'availability zone', 'services', 'slots', 'address'], serverRows)],
    ['Drains', renderTable(['kind', 'id'], drains.map(({ kind, id }) => [kind, id]))]
  ])
}

function renderGuarantees (guarantees: readonly GuaranteeSummary[]): string {
  const head = ['guarantee', 'organisation', 'cell', 'cells', 'in use', 'lent accelerators', 'missing cells']
  return renderTable(head, guarantees.map(guarantee => [
    guarantee.guaranteeId, guarantee.organisationId, `${guarantee.acceleratorsPerCell} ${guarantee.acceleratorModel}`,
    guarantee.cells, guarantee.cellsInUse, guarantee.lentAccelerators, guarantee.missingCells
  ]))
}
