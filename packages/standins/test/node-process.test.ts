import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test, { type ExecutionContext } from 'ava'
import { parse } from 'yaml'
import { NodeProcess } from '../src/index.js'
import { writeNodeSettings } from '../src/node-settings.js'

const NODE_SCRIPT = join(import.meta.dirname, '../../node/dist/main.js')

async function temporaryFolder (t: ExecutionContext): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'comfreygrade-test-'))
  t.teardown(async () => await rm(folder, { recursive: true }))
  return folder
}

async function startScript (t: ExecutionContext, script: string): Promise<NodeProcess> {
  const file = join(await temporaryFolder(t), 'script.mjs')
  await writeFile(file, script)
  return new NodeProcess('n1', file, [])
}

test('a process becomes ready with its ready line and exits with code 0 on SIGTERM', async t => {
  const process = await startScript(t, `
    const timer = setInterval(() => {}, 1000)
    globalThis.process.on('SIGTERM', () => clearInterval(timer))
    console.log('{"event":"ready"}')
  `)
  await process.waitUntilReady(10_000)
  t.deepEqual(await process.stop(10_000), { code: 0, signal: null })
})

test('the wait for a process that exits early rejects, and its log lines are kept to show the cause', async t => {
  const process = await startScript(t, 'console.error("{\\"message\\":\\"port in use\\"}"); globalThis.process.exitCode = 1')
  await t.throwsAsync(process.waitUntilReady(10_000), { message: /ended with code 1/ })
  t.deepEqual(process.logLines, ['{"message":"port in use"}'])
})

test('a process that ignores SIGTERM is killed after the timeout and reported, so that none is left running', async t => {
  const process = await startScript(t, `
    globalThis.process.on('SIGTERM', () => {}); setInterval(() => {}, 1000); console.log('{"event":"ready"}')
  `)
  await process.waitUntilReady(10_000)
  await t.throwsAsync(process.stop(50), { message: /did not end within 50 ms/ })
  t.deepEqual(await process.kill(), { code: null, signal: 'SIGKILL' })
})

test('every settings file lists all nodes with their own ports, so that the control nodes find each other', async t => {
  const nodes = await writeNodeSettings(await temporaryFolder(t))
  const settings = await Promise.all(nodes.map(async node => parse(await readFile(node.settingsFile, 'utf8'))))
  t.is(new Set(nodes.flatMap(node => [node.httpPort, node.peerPort])).size, 10)
  t.is(settings.filter(({ node }) => node.roles.includes('control')).length, 3)
  for (const [index, { node, http, peers }] of settings.entries()) {
    const self = peers.nodes.find((peer: { nodeId: string }) => peer.nodeId === node.nodeId)
    t.like(self, { port: peers.port, httpAddress: `http://${http.host}:${http.port}` })
    t.deepEqual(peers.nodes, settings[(index + 1) % 5].peers.nodes)
  }
})

test('a node with invalid settings or a misspelt flag exits with code 2, so that no node starts by mistake', async t => {
  const file = join(await temporaryFolder(t), 'node.yaml')
  await writeFile(file, 'node: { nodeId: n 1 }\nhttp: { host: localhost, port: 0, colour: red }\n')
  const wrongFile = new NodeProcess('n1', NODE_SCRIPT, ['--settings', file, '--check'])
  await t.throwsAsync(wrongFile.waitUntilReady(10_000), { message: /ended with code 2/ })
  const fields = wrongFile.logLines.map(line => line.slice(file.length).split(' found ')[0])
  const missing = ['region', 'availabilityZone', 'roles'].map(field => `:1: node.${field}:`)
  t.deepEqual(fields.toSorted(),
    [':1: node.nodeId:', ...missing, ':1: peers:', ':2: http.colour:', ':2: http.host:', ':2: http.port:'].toSorted())
  const wrongFlag = new NodeProcess('n1', NODE_SCRIPT, ['--settings', file, '--chek'])
  await t.throwsAsync(wrongFlag.waitUntilReady(10_000), { message: /ended with code 2/ })
  t.true(wrongFlag.logLines.some(line => line.includes('--chek')))
})
