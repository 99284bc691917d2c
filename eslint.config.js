import neostandard from 'neostandard'
import tsdoc from 'eslint-plugin-tsdoc'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'node_modules/**', 'coverage/**', 'target/**'] }),
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    plugins: { tsdoc },
    rules: { 'tsdoc/syntax': 'error' }
  }
]
