import { defineConfig } from 'vitest/config'

export default defineConfig({
  resolve: { conditions: ['jaymill-source'] },
  ssr: { resolve: { conditions: ['jaymill-source'] } },
  test: {
    include: ['{packages/*,platform}/src/**/__tests__/**/*.test.ts'],
    testTimeout: 30_000,
    pool: 'forks'
  }
})
