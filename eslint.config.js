import neostandard from 'neostandard'

const atomics = { name: 'Atomics', message: 'Blocking waits stall the event loop.' }
const anyDuration = 'It takes only some durations; use @comfreygrade/timers.'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'coverage/**', 'target/**', 'journal/**'] }),
  {
    rules: {
      // All requests share one thread, so a blocking wait would stall every one of them.
      'no-restricted-globals': ['error', atomics],
      'max-len': ['error', { code: 120, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true }]
    }
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['packages/timers/src/**'],
    rules: {
      'no-restricted-globals': ['error', atomics,
        { name: 'setTimeout', message: anyDuration }, { name: 'setInterval', message: anyDuration }],
      'no-restricted-properties': ['error',
        { object: 'AbortSignal', property: 'timeout', message: anyDuration },
        { object: 'globalThis', property: 'setTimeout', message: anyDuration },
        { object: 'globalThis', property: 'setInterval', message: anyDuration }],
      'no-restricted-imports': ['error', ...['node:timers', 'node:timers/promises', 'timers', 'timers/promises']
        .map(name => ({ name, message: anyDuration }))]
    }
  }
]
