import neostandard from 'neostandard'
import tsdoc from 'eslint-plugin-tsdoc'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'node_modules/**', 'coverage/**'] }),
  {
    files: ['packages/*/src/**/*.ts'],
    plugins: { tsdoc },
    rules: { 'tsdoc/syntax': 'error' }
  }
]
