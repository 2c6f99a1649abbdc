/** All tests but those of `ava.crowd.config.js`. */
export default {
  files: ['packages/*/test/**/*.test.ts', 'platform/test/**/*.test.ts', '!platform/test/crowd/**'],
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx', '--conditions=source'],
  workerThreads: false,
  concurrency: 4,
  timeout: '120s'
}
