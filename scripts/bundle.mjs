/** Bundles the process for the users' platform into one file, for a quick start and little memory. */
import { pathToFileURL } from 'node:url'
import { build } from 'esbuild'

/** Writes the bundle to `outfile`. */
export async function bundle (outfile) {
  await build({
    entryPoints: ['platform/src/main.ts'],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    conditions: ['source'],
    minifySyntax: true,
    // Dependencies that are CommonJS modules call require() for modules of Node.js.
    banner: {
      js: "import { createRequire as createBundleRequire } from 'node:module'; " +
        'const require = createBundleRequire(import.meta.url);'
    },
    logLevel: 'warning'
  })
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) await bundle('target/comfreygrade.mjs')
