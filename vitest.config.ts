import { defineConfig } from 'vitest/config'

/** Tests that measure the memory and the descriptors of a process; they run one by one after the others. */
const MEASURED = '{packages/*,platform}/src/**/__tests__/hostile/*.test.ts'

export default defineConfig({
  resolve: { conditions: ['jaymill-source'] },
  ssr: { resolve: { conditions: ['jaymill-source'] } },
  test: {
    testTimeout: 30_000,
    pool: 'forks',
    projects: [
      {
        extends: true,
        test: { name: 'side by side', include: ['{packages/*,platform}/src/**/__tests__/**/*.test.ts'], exclude: [MEASURED] }
      },
      {
        extends: true,
        test: { name: 'one by one', include: [MEASURED], fileParallelism: false, sequence: { groupOrder: 1 } }
      }
    ]
  }
})
