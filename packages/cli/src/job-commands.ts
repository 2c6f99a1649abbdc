/** `jobs` and `job submit|show|cancel|explain|watch`. */
import { setTimeout as delay } from 'node:timers/promises'
import type { JobExplanation, JobPhase } from '@comfreygrade/core'
import type { JobAnswer } from './answers.js'
import { Command, type CommandContext, readInput } from './command.js'
import type { ExitReason } from './exit.js'
import { readJobFile } from './job-file.js'
import { renderFields, renderTable } from './tables.js'

/** `jobs`. */
export class JobsCommand extends Command {
  override readonly words = ['jobs']
  override readonly summary = 'list jobs; --phase, --organisation and --limit narrow the list'

  override async run ({ client, output, options }: CommandContext): Promise<ExitReason> {
    const { phase, organisation, limit } = options
    const answer = await client.jobs({ phase: phase as JobPhase | undefined, organisation, limit })
    output.show(answer, () => renderJobs(answer.jobs, answer.total))
    return 'done'
  }
}

/** `job submit FILE|-`. */
export class JobSubmitCommand extends Command {
  override readonly words = ['job', 'submit']
  override readonly parameters = ['FILE|-']
  override readonly summary = 'submit a gang job from a YAML or JSON file or from stdin'

  override async run (context: CommandContext): Promise<ExitReason> {
    const job = await readInput(context, context.values[0] ?? '', readJobFile)
    if (job === undefined) return 'usage'
    const answer = await context.client.submitJob(job)
    context.output.show(answer, () => `job ${answer.spec.jobId} is ${answer.phase}`)
    return 'done'
  }
}

/** `job show ID`. */
export class JobShowCommand extends Command {
  override readonly words = ['job', 'show']
  override readonly parameters = ['ID']
  override readonly summary = 'show a job and where it runs'

  override async run ({ client, output, values }: CommandContext): Promise<ExitReason> {
    const job = await client.job(values[0] ?? '')
    output.show(job, () => renderJob(job))
    return 'done'
  }
}

/** `job cancel ID`. */
export class JobCancelCommand extends Command {
  override readonly words = ['job', 'cancel']
  override readonly parameters = ['ID']
  override readonly summary = 'cancel a job'

  override async run ({ client, output, values }: CommandContext): Promise<ExitReason> {
    const jobId = values[0] ?? ''
    const answer = await client.cancelJob(jobId)
    output.show(answer, () => `job ${jobId} is cancelled or has ended`)
    return 'done'
  }
}

/** `job explain ID`. */
export class JobExplainCommand extends Command {
  override readonly words = ['job', 'explain']
  override readonly parameters = ['ID']
  override readonly summary = 'say why a job waits or how it was placed'

  override async run ({ client, output, values }: CommandContext): Promise<ExitReason> {
    const explanation = await client.explainJob(values[0] ?? '')
    output.show(explanation, () => renderExplanation(explanation))
    return 'done'
  }
}

/** `job watch ID`. */
export class JobWatchCommand extends Command {
  override readonly words = ['job', 'watch']
  override readonly parameters = ['ID']
  override readonly summary = 'print each change of a job until it has ended; exit code 1 where it did not complete'

  override async run ({ client, output, values, options }: CommandContext): Promise<ExitReason> {
    let printed = ''
    for (;;) {
      const job = await client.job(values[0] ?? '')
      const line = describeJob(job)
      if (line !== printed) output.show(job, () => line)
      printed = line
      if (job.phase === 'ended') return job.outcome === 'completed' ? 'done' : 'refused'
      await delay(options.intervalMs)
    }
  }
}

/** Renders a list of jobs. */
export function renderJobs (jobs: readonly JobAnswer[], total: number): string {
  const rows = jobs.map(({ spec, phase, outcome, starts, detail }) => (
    [spec.jobId, spec.organisationId, spec.priority, describeShape(spec), phase, outcome ?? '-', starts, detail]))
  const head = ['job', 'organisation', 'priority', 'shape', 'phase', 'outcome', 'starts', 'detail']
  return `${renderTable(head, rows)}\n${jobs.length} of ${total} jobs`
}

function describeJob ({ phase, outcome, detail }: JobAnswer): string {
  return outcome === null ? `${phase}: ${detail}` : `${phase} as ${outcome}: ${detail}`
}

function describeShape ({ tasks, acceleratorsPerTask, acceleratorModel, adjacency }: JobAnswer['spec']): string {
  return `${tasks} x ${acceleratorsPerTask} ${acceleratorModel} (${adjacency})`
}

function renderJob (job: JobAnswer): string {
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
