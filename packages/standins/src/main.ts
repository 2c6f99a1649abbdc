/** Command that runs one stand-in until SIGTERM or SIGINT. */
import meow from 'meow'
import { createBackendBehaviour, backendBehaviourNames } from './backend-behaviour.js'
import { StandInBackendServer } from './backend-server.js'
import { FixedRunTime } from './run-times.js'
import { StandInWorker } from './worker.js'
import { createWorkerBehaviour, workerBehaviourNames } from './worker-behaviour.js'

const cli = meow(`
  Usage
    $ node main.js --kind backend-server|worker --id ID --entry URL [--entry URL ...]

  Options
    --port        port on 127.0.0.1; 0 selects a free one (0)
    --region      region of a backend server (montevideo); a worker only prints it
    --zone        availability zone of a backend server (montevideo-a); a worker only prints it
    --rack        rack, which is only printed
    --slots       concurrent executions of a backend server, or accelerators of a worker (8)
    --service     backend server only: service that it provides; repeatable (charge)
    --service-ms  backend server only: service time of requests that do not request one (5)
    --run-ms      worker only: run time of a task (1000)
    --behaviour   backend server: serve, reject, fail_fast, freeze, answer_late, cut_after_executing
                  worker: work, refuse, fail
`, {
  importMeta: import.meta,
  allowUnknownFlags: false,
  flags: {
    kind: { type: 'string', choices: ['backend-server', 'worker'], isRequired: true },
    id: { type: 'string', isRequired: true },
    port: { type: 'number', default: 0 },
    entry: { type: 'string', isMultiple: true, isRequired: true },
    region: { type: 'string', default: 'montevideo' },
    zone: { type: 'string', default: 'montevideo-a' },
    rack: { type: 'string', default: '' },
    slots: { type: 'number', default: 8 },
    service: { type: 'string', isMultiple: true, default: ['charge'] },
    serviceMs: { type: 'number', default: 5 },
    runMs: { type: 'number', default: 1_000 },
    behaviour: { type: 'string' }
  }
})

interface StandIn {
  readonly address: string
  start (): Promise<void>
  stop (): Promise<void>
}

/** Finds the behaviour of the given name; exits with code 2 if there is none. */
function parseName<T extends string> (name: string, names: readonly T[]): T {
  const chosen = names.find(candidate => candidate === name)
  if (chosen !== undefined) return chosen
  console.error(`unknown --behaviour "${name}"; expected one of: ${names.join(', ')}`)
  process.exit(2)
}

function createBackendServer (): StandIn {
  const { id, entry, port, region, zone, slots, service, serviceMs, behaviour } = cli.flags
  const server = new StandInBackendServer({
    backendServerId: id,
    entryAddresses: entry,
    port,
    region,
    availabilityZone: zone,
    slots,
    services: service,
    serviceMs
  })
  if (behaviour !== undefined) server.setBehaviour(createBackendBehaviour(parseName(behaviour, backendBehaviourNames)))
  return server
}

function createWorker (): StandIn {
  const { id, entry, port, slots, runMs, behaviour } = cli.flags
  const runTimes = new FixedRunTime(runMs)
  const worker = new StandInWorker({ workerId: id, entryAddresses: entry, port, accelerators: slots, runTimes })
  if (behaviour !== undefined) worker.setBehaviour(createWorkerBehaviour(parseName(behaviour, workerBehaviourNames)))
  return worker
}

const { kind, id, region, zone, rack } = cli.flags
const standIn = kind === 'worker' ? createWorker() : createBackendServer()
await standIn.start()
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => { standIn.stop().catch(() => { process.exitCode = 1 }) })
}
// Printed last, once the signal handlers are installed, since a reader can send a signal at once.
console.log(JSON.stringify({ event: 'ready', kind, id, region, zone, rack, address: standIn.address }))
