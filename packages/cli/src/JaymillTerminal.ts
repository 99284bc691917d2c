import { readFileSync, writeFileSync } from 'node:fs'
import { CliError } from './JaymillCliError.js'
import { ExitCode } from './JaymillExitCode.js'

/** Where a command reads and writes; a port, so that tests see what an operator sees. */
export abstract class Terminal {
  /**
   * @param text - Result, for standard output.
   */
  abstract print (text: string): void

  /**
   * @param text - Progress or failure, for standard error.
   */
  abstract note (text: string): void

  /**
   * @param name - Environment variable.
   * @returns Its value, or `undefined`.
   */
  abstract env (name: string): string | undefined

  /**
   * @param path - File to be read.
   * @returns Its text.
   * @throws CliError with exit code `Usage`.
   */
  read (path: string): string {
    try {
      return readFileSync(path, 'utf8')
    } catch (err) {
      throw new CliError(ExitCode.Usage, `${path} can't be read: ${(err as NodeJS.ErrnoException).code ?? 'unknown'}`, err)
    }
  }

  /**
   * @param path - File to be written.
   * @param text - Its text.
   * @throws CliError with exit code `Usage`.
   */
  write (path: string, text: string): void {
    try {
      writeFileSync(path, text)
    } catch (err) {
      throw new CliError(ExitCode.Usage, `${path} can't be written: ${(err as NodeJS.ErrnoException).code ?? 'unknown'}`, err)
    }
  }
}

/** The terminal of the process. */
export class ProcessTerminal extends Terminal {
  /** {@inheritDoc Terminal.print} */
  print (text: string): void {
    process.stdout.write(`${text}\n`)
  }

  /** {@inheritDoc Terminal.note} */
  note (text: string): void {
    process.stderr.write(`${text}\n`)
  }

  /** {@inheritDoc Terminal.env} */
  env (name: string): string | undefined {
    return process.env[name]
  }
}
