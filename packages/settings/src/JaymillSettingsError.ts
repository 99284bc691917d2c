import { ErrorKind, JaymillError } from '@jaymill/core'

/** One problem of a document. */
export interface Problem {
  /** Path of the invalid value, such as `pools[0].endpoints[1].url`; empty for the whole document. */
  readonly path: string
  /** Line of the problem, starting at 1. */
  readonly line: number
  /** Column of the problem, starting at 1. */
  readonly column: number
  /** Description for operators. */
  readonly message: string
}

/** Error for an invalid document; lists every problem found in it. */
export class SettingsError extends JaymillError {
  readonly kind = ErrorKind.Settings
  readonly status = 500
  /** Name of the document. */
  readonly fileName: string
  /** Every problem, in the order of the text. */
  readonly problems: readonly Problem[]

  /**
   * @param fileName - Name of the document.
   * @param problems - Every problem found.
   */
  constructor (fileName: string, problems: readonly Problem[]) {
    super(problems.map(problem => formatProblem(fileName, problem)).join('\n'))
    this.fileName = fileName
    this.problems = problems
  }
}

/**
 * Formats a problem as one line.
 *
 * @param fileName - Name of the document.
 * @param problem - Problem to format.
 * @returns `file:line:column: path: message`.
 */
export function formatProblem (fileName: string, problem: Problem): string {
  const path = problem.path === '' ? '' : `${problem.path}: `
  return `${fileName}:${problem.line}:${problem.column}: ${path}${problem.message}`
}
