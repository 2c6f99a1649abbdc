#!/usr/bin/env node
/** Entry point of the `comfreygrade` command. */
import { runCommandLine } from './command-line.js'
import { exitCodes } from './exit.js'
import type { Streams } from './output.js'

const processStreams: Streams = {
  async readStdin () {
    const chunks: Buffer[] = []
    for await (const chunk of process.stdin) chunks.push(chunk as Buffer)
    return Buffer.concat(chunks)
  },
  write (text) {
    process.stdout.write(text)
  },
  writeError (text) {
    process.stderr.write(text)
  }
}

process.exitCode = exitCodes[await runCommandLine(process.argv.slice(2), processStreams)]
