import { readFileSync, writeFileSync } from 'node:fs'
import { CliError } from './JaymillCliError.js'
import { ExitCode } from './JaymillExitCode.js'

/** Input and output of a command; abstract, so that tests can capture the output. */
export abstract class Terminal {
  /**
   * Prints a result to standard output.
   *
   * @param text - Text of the result.
   */
  abstract print (text: string): void

  /**
   * Prints progress or an error to standard error.
   *
   * @param text - Text of the message.
   */
  abstract printDiagnostic (text: string): void

  /**
   * Reads an environment variable.
   *
   * @param name - Name of the variable.
   * @returns Its value, or `undefined` when it is not set.
   */
  abstract env (name: string): string | undefined

  /**
   * Reads a text file.
   *
   * @param path - Path of the file.
   * @returns Its text.
   * @throws CliError with exit code `Usage` when the file cannot be read.
   */
  read (path: string): string {
    try {
      return readFileSync(path, 'utf8')
    } catch (err) {
      throw new CliError(ExitCode.Usage, `${path} cannot be read: ${(err as NodeJS.ErrnoException).code ?? 'unknown'}`, err)
    }
  }

  /**
   * Writes a text file.
   *
   * @param path - Path of the file.
   * @param text - Text to write.
   * @throws CliError with exit code `Usage` when the file cannot be written.
   */
  write (path: string, text: string): void {
    try {
      writeFileSync(path, text)
    } catch (err) {
      throw new CliError(ExitCode.Usage, `${path} cannot be written: ${(err as NodeJS.ErrnoException).code ?? 'unknown'}`, err)
    }
  }
}

/** Terminal on the standard streams and the environment of the process. */
export class ProcessTerminal extends Terminal {
  /** {@inheritDoc Terminal.print} */
  print (text: string): void {
    process.stdout.write(`${text}\n`)
  }

  /** {@inheritDoc Terminal.printDiagnostic} */
  printDiagnostic (text: string): void {
    process.stderr.write(`${text}\n`)
  }

  /** {@inheritDoc Terminal.env} */
  env (name: string): string | undefined {
    return process.env[name]
  }
}
