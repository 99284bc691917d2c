import sade, { type Sade } from 'sade'

const DEFAULT_SEED = 1

/**
 * Creates a bench program with the options that all of them have.
 *
 * @param name - Name of its npm script.
 * @param description - Text for `--help`.
 * @returns The program, to be completed with further options and an action.
 */
export function benchProgram (name: string, description: string): Sade {
  return sade(name, true)
    .describe(description)
    .option('--seed', 'Seed of the random numbers', DEFAULT_SEED)
    .option('--json', 'Print one JSON line per figure', false)
}

/**
 * @param flag - Flag that a program does not know.
 * @returns The error message.
 */
export function unknownFlag (flag: string): string {
  return `unknown flag ${flag}`
}
