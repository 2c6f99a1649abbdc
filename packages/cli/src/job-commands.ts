/** `jobs` and `job submit|show|cancel|explain|watch`. */
import type { JobExplanation, JobPhase, JobSpec } from '@comfreygrade/core'
import type { ValidationResult } from '@comfreygrade/documents'
import { pause } from '@comfreygrade/timers'
import type { JobResponse, JobListResponse } from './api-types.js'
import { Command, type CommandContext, FileCommand, SingleCallCommand } from './command.js'
import type { ExitReason } from './exit.js'
import { parseJobFile } from './job-file.js'
import { renderFields, renderTable } from './tables.js'

/** `jobs`. */
export class JobsCommand extends SingleCallCommand<JobListResponse> {
  override readonly words = ['jobs']
  override readonly summary = 'list jobs; --phase, --organisation and --limit narrow the list'

  protected override async fetch ({ client, options }: CommandContext): Promise<JobListResponse> {
    const { phase, organisation, limit } = options
    return await client.jobs({ phase: phase as JobPhase | undefined, organisation, limit })
  }

  protected override render ({ jobs, total }: JobListResponse): string {
    return renderJobs(jobs, total)
  }
}

/** `job submit FILE|-`. */
export class JobSubmitCommand extends FileCommand<JobSpec> {
  override readonly words = ['job', 'submit']
  override readonly parameters = ['FILE|-']
  override readonly summary = 'submit a gang job from a YAML or JSON file or from stdin'

  protected override parse (file: string, text: string): ValidationResult<JobSpec> {
    return parseJobFile(file, text)
  }

  protected override async runWith (job: JobSpec, { client, output }: CommandContext): Promise<ExitReason> {
    const response = await client.submitJob(job)
    output.writeResult(response, () => `job ${response.spec.jobId} is ${response.phase}`)
    return 'done'
  }
}

/** `job show ID`. */
export class JobShowCommand extends SingleCallCommand<JobResponse> {
  override readonly words = ['job', 'show']
  override readonly parameters = ['ID']
  override readonly summary = 'show a job and where it runs'

  protected override async fetch ({ client, args }: CommandContext): Promise<JobResponse> {
    return await client.job(args[0] ?? '')
  }

  protected override render (job: JobResponse): string {
    return renderJob(job)
  }
}

/** `job cancel ID`. */
export class JobCancelCommand extends SingleCallCommand<JobResponse> {
  override readonly words = ['job', 'cancel']
  override readonly parameters = ['ID']
  override readonly summary = 'cancel a job'

  protected override async fetch ({ client, args }: CommandContext): Promise<JobResponse> {
    return await client.cancelJob(args[0] ?? '')
  }

  protected override render ({ spec }: JobResponse): string {
    return `job ${spec.jobId} is ending or has ended`
  }
}

/** `job explain ID`. */
export class JobExplainCommand extends SingleCallCommand<JobExplanation> {
  override readonly words = ['job', 'explain']
  override readonly parameters = ['ID']
  override readonly summary = 'show why a job waits or how it was placed'

  protected override async fetch ({ client, args }: CommandContext): Promise<JobExplanation> {
    return await client.explainJob(args[0] ?? '')
  }

  protected override render (explanation: JobExplanation): string {
    return renderExplanation(explanation)
  }
}

/** `job watch ID`: polls until the job has ended. */
export class JobWatchCommand extends Command {
  override readonly words = ['job', 'watch']
  override readonly parameters = ['ID']
  override readonly summary = 'print each change of a job until it has ended; exit code 1 if it did not complete'

  override async run ({ client, output, args, options }: CommandContext): Promise<ExitReason> {
    let previousLine = ''
    for (;;) {
      const job = await client.job(args[0] ?? '')
      const line = describeState(job)
      if (line !== previousLine) output.writeResult(job, () => line)
      previousLine = line
      if (job.phase === 'ended') return job.outcome === 'completed' ? 'done' : 'refused'
      await pause(options.intervalMs)
    }
  }
}

/** Renders jobs as a table; `total` includes the jobs beyond the limit. */
export function renderJobs (jobs: readonly JobResponse[], total: number): string {
  const rows = jobs.map(({ spec, phase, outcome, starts, detail }) => (
    [spec.jobId, spec.organisationId, spec.priority, describeGangShape(spec), phase, outcome ?? '-', starts, detail]))
  const head = ['job', 'organisation', 'priority', 'shape', 'phase', 'outcome', 'starts', 'detail']
  return `${renderTable(head, rows)}\n${jobs.length} of ${total} jobs`
}

function describeState ({ phase, outcome, detail }: JobResponse): string {
  return outcome === null ? `${phase}: ${detail}` : `${phase} as ${outcome}: ${detail}`
}

function describeGangShape ({ tasks, acceleratorsPerTask, acceleratorModel, adjacency }: JobResponse['spec']): string {
  return `${tasks} x ${acceleratorsPerTask} ${acceleratorModel} (${adjacency})`
}

function renderJob (job: JobResponse): string {
  const { placement, ...fields } = job
  if (placement === null) return renderFields(fields)
  const rows = placement.tasks.map(({ taskIndex, workerId, firstAccelerator, acceleratorCount }) => (
    [taskIndex, workerId, `${firstAccelerator}-${firstAccelerator + acceleratorCount - 1}`]))
  const tasks = renderTable(['task', 'worker', 'accelerators'], rows)
  return `${renderFields(fields)}\n${placement.capacityClass}: ${placement.reason}\n${tasks}`
}

function renderExplanation (explanation: JobExplanation): string {
  const { jobId, state, reason, queuePosition, blockedByJobIds, estimatedStartInMs } = explanation
  const lines = [`job ${jobId} is ${state}: ${reason}`]
  if (queuePosition > 0) lines.push(`position ${queuePosition} in the queue`)
  if (blockedByJobIds.length > 0) lines.push(`waits for ${blockedByJobIds.join(', ')}`)
  if (estimatedStartInMs !== undefined) lines.push(`estimated start in ${Math.round(estimatedStartInMs / 1_000)} s`)
  return lines.join('\n')
}
