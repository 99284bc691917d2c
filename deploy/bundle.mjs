import { build } from 'esbuild'

/** Defines `require` for bundled CommonJS libraries, since ES modules have none. */
const REQUIRE_BANNER = "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);"

/**
 * Bundles a program into one minified ES module.
 *
 * @param {string} entry - Path of the entry module.
 * @param {string} outfile - Path of the output file.
 */
export async function bundle (entry, outfile) {
  await build({
    entryPoints: [entry],
    outfile,
    bundle: true,
    format: 'esm',
    platform: 'node',
    target: 'node20',
    conditions: ['jaymill-source'],
    mainFields: ['module', 'main'],
    minifySyntax: true,
    minifyIdentifiers: true,
    keepNames: true,
    minifyWhitespace: true,
    legalComments: 'none',
    banner: { js: REQUIRE_BANNER },
    logLevel: 'warning'
  })
}
