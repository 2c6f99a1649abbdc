/** Bundles the process for the users' platform into one file under target/, for a quick start and little memory. */
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/comfreygrade.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['source'],
  minifySyntax: true,
  // Dependencies that are CommonJS modules call require() for modules of Node.js.
  banner: { js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);" },
  logLevel: 'warning'
})
