import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'coverage/**', 'target/**', 'journal/**'] }),
  {
    rules: {
      // All requests share one thread, so a blocking wait would stall every one of them.
      'no-restricted-globals': ['error', { name: 'Atomics', message: 'Blocking waits stall the event loop.' }],
      'max-len': ['error', { code: 120, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true }]
    }
  }
]
