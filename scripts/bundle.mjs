/**
 * Bundles the process that runs on the users' platform (`platform/src/main.ts`), which starts faster and uses less
 * memory than separate modules. Modules that only some processes need are imported dynamically and have files of their
 * own beside the main one. Names are kept, so that stack traces can be read.
 */
import { pathToFileURL } from 'node:url'
import { build } from 'esbuild'

/** Writes `comfreygrade.mjs`, and the files that it imports, to a folder. */
export async function bundle (outdir) {
  await build({
    entryPoints: { comfreygrade: 'platform/src/main.ts' },
    outdir,
    outExtension: { '.js': '.mjs' },
    bundle: true,
    splitting: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    conditions: ['source'],
    minifySyntax: true,
    minifyWhitespace: true,
    // CommonJS dependencies call require(), which an ES module lacks, for built-in modules of Node.js.
    banner: {
      js: "import { createRequire as createBundleRequire } from 'node:module'; " +
        'const require = createBundleRequire(import.meta.url);'
    },
    logLevel: 'warning'
  })
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) await bundle('target')
