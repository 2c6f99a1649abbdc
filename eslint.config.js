import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'coverage/**', 'target/**', 'journal/**'] }),
  {
    rules: {
      // One thread serves every caller, so a blocking call would stall all of them.
      'no-restricted-globals': ['error', { name: 'Atomics', message: 'Blocking waits stall the event loop.' }],
      'max-len': ['error', { code: 120, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true }]
    }
  }
]
