import base from './ava.config.js'

/**
 * Tests of processes under the load of untrusted clients, which run one at a time and apart from the others:
 * `npx ava --config ava.crowd.config.js`.
 */
export default {
  ...base,
  files: ['platform/test/crowd/**/*.test.ts'],
  serial: true,
  concurrency: 1
}
