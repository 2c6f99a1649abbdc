#!/usr/bin/env node
/** Entry point of a node process: reads the settings, starts the node, shuts down gracefully on SIGTERM and SIGINT. */
import { readFile } from 'node:fs/promises'
import meow from 'meow'
import { formatFileProblem } from '@comfreygrade/documents'
import { defaultControlSettings } from '@comfreygrade/control'
import { defaultReplicaSettings } from '@comfreygrade/consensus'
import { defaultPlacementSettings } from '@comfreygrade/placement'
import { defaultRoutingSettings } from '@comfreygrade/routing'
import { FileLogError } from './log-files.js'
import { startNode } from './start-node.js'
import { readSettings, type Settings } from './settings.js'

/** Exit code for invalid usage or invalid settings. */
const EXIT_INVALID_SETTINGS = 2
/** Exit code for a failed start, and for a failure of the storage or the replica. */
const EXIT_FAILURE = 1

const cli = meow(`
  Usage
    $ comfreygrade-node --settings FILE

  Options
    --settings FILE  YAML file with the settings of this node
    --check          check the settings and exit
    --help           show this text
    --version        show the version
`, {
  importMeta: import.meta,
  // Otherwise a misspelt --check would start the node.
  allowUnknownFlags: false,
  flags: {
    settings: { type: 'string', isRequired: true },
    check: { type: 'boolean', default: false }
  }
})

const defaults = {
  routing: defaultRoutingSettings,
  placement: defaultPlacementSettings,
  consensus: defaultReplicaSettings,
  control: defaultControlSettings
}

async function readSettingsFile (file: string): Promise<Settings | undefined> {
  const text = await readFile(file, 'utf8').catch((error: NodeJS.ErrnoException) => {
    console.error(`${file}: cannot be read: ${error.message}`)
  })
  if (text === undefined) return undefined
  const result = readSettings(file, text, defaults)
  if (result.kind === 'valid') return result.value
  for (const problem of result.problems) console.error(formatFileProblem(problem))
  return undefined
}

async function run (settings: Settings): Promise<void> {
  // meow sets the title to the package name, which is the same for all nodes on one machine.
  process.title = `comfreygrade-node ${settings.node.nodeId}`
  const node = await startNode(settings, error => {
    const event = error instanceof FileLogError ? 'storage_failed' : 'replica_failed'
    console.error(JSON.stringify({ event, detail: String(error) }))
    process.exit(EXIT_FAILURE)
  })
  const stop = (): void => {
    node.stop().then(() => { process.exit(0) }, () => { process.exit(EXIT_FAILURE) })
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
  console.log(JSON.stringify({ event: 'ready', nodeId: settings.node.nodeId, http: settings.http }))
}

const settings = await readSettingsFile(cli.flags.settings)
if (settings === undefined) {
  process.exitCode = EXIT_INVALID_SETTINGS
} else if (cli.flags.check) {
  console.log(`${cli.flags.settings}: settings are valid`)
} else {
  await run(settings).catch((error: unknown) => {
    console.error(JSON.stringify({ event: 'start_failed', detail: String(error) }))
    process.exit(EXIT_FAILURE)
  })
}
