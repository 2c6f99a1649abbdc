/** `evacuations`. */
import type { EvacuationListResponse } from './api-types.js'
import { Command, type CommandContext } from './command.js'
import type { ExitReason } from './exit.js'
import { NodeClient } from './node-client.js'
import { renderTable } from './tables.js'

/** `evacuations --address HOST:PORT`; the address is the metrics address of any process of the batch scheduler. */
export class EvacuationsCommand extends Command {
  override readonly words = ['evacuations']
  override readonly summary = 'list the evacuations of availability zones; --address is a metrics address'

  override async run ({ output, options: { address, timeoutMs } }: CommandContext): Promise<ExitReason> {
    if (address === undefined || !/^[^:\s/]+:\d{1,5}$/.test(address)) {
      output.writeProblem({ found: address ?? null }, '--address: expected HOST:PORT')
      return 'usage'
    }
    const client = new NodeClient([`http://${address}`], timeoutMs)
    try {
      const response = await client.evacuations()
      output.writeResult(response, () => renderEvacuations(response))
      return 'done'
    } finally {
      await client.close()
    }
  }
}

function renderEvacuations ({ evacuations }: EvacuationListResponse): string {
  const head = ['zone', 'requested', 'by', 'ended', 'workers', 'remaining runs']
  return renderTable(head, evacuations.map(evacuation => [
    // A name may contain control characters, which must not reach the terminal.
    JSON.stringify(evacuation.zone).slice(1, -1),
    formatTime(evacuation.requestedWallMs),
    evacuation.requestedBy,
    evacuation.endedWallMs === undefined ? '' : formatTime(evacuation.endedWallMs),
    evacuation.workers,
    evacuation.remainingRuns.length
  ]))
}

function formatTime (wallMs: number): string {
  return new Date(wallMs).toISOString()
}
