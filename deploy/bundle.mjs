import { build } from 'esbuild'

/** Gives bundled CommonJS libraries the `require` that an ES module lacks. */
const REQUIRE_BANNER = "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);"

/**
 * Bundles a program into one file.
 *
 * @param {string} entry - Its first module.
 * @param {string} outfile - The file.
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
