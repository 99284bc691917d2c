import {
  diffFleetConfig, DocumentKind, formatProblem, guessDocumentKind, parseFleetConfig, parseHostList, parseHostSettings,
  SettingsError, type Problem
} from '@jaymill/settings'
import { CliError } from '../JaymillCliError.js'
import { ExitCode } from '../JaymillExitCode.js'
import { textFlag, type Flags } from '../JaymillFlags.js'
import type { Terminal } from '../JaymillTerminal.js'
import { diffText } from '../render/JaymillDiffText.js'

const PARSERS: Readonly<Record<DocumentKind, (text: string, name: string) => unknown>> = {
  [DocumentKind.HostSettings]: parseHostSettings,
  [DocumentKind.Fleet]: parseFleetConfig,
  [DocumentKind.HostList]: parseHostList
}

/**
 * Checks a document.
 *
 * @param file - Path of the document.
 * @param flags - `kind` and `json`.
 * @param terminal - Receives every problem.
 * @returns `Problems` when there are any, else `Ok`.
 */
export function runCheck (file: string, flags: Flags, terminal: Terminal): ExitCode {
  const text = terminal.read(file)
  const kind = kindOf(flags) ?? guessDocumentKind(text)
  const problems = problemsOf(kind, text, file)
  const ok = problems.length === 0
  if (flags.json === true) terminal.print(JSON.stringify({ file, kind, ok, problems }))
  else if (ok) terminal.print(`${file}: valid ${kind} document`)
  else terminal.print(problems.map(problem => formatProblem(file, problem)).join('\n'))
  return ok ? ExitCode.Ok : ExitCode.Problems
}

/**
 * Shows the changes between two fleet configurations, and their risks.
 *
 * @param oldFile - Path of the active configuration.
 * @param nextFile - Path of the configuration to replace it.
 * @param flags - `json`.
 * @param terminal - Receives changes and risks.
 * @returns `Problems` when there are risks, else `Ok`.
 * @throws CliError with exit code `Usage` when a file is invalid.
 */
export function runDiff (oldFile: string, nextFile: string, flags: Flags, terminal: Terminal): ExitCode {
  const [old, next] = [readFleet(oldFile, terminal), readFleet(nextFile, terminal)]
  const diff = diffFleetConfig(old, next)
  terminal.print(flags.json === true ? JSON.stringify(diff) : diffText(diff))
  return diff.risks.length === 0 ? ExitCode.Ok : ExitCode.Problems
}

function kindOf (flags: Flags): DocumentKind | undefined {
  const requestedKind = textFlag(flags, 'kind')
  const kind = Object.values(DocumentKind).find(documentKind => documentKind === requestedKind)
  if (requestedKind === undefined || kind !== undefined) return kind
  throw new CliError(ExitCode.Usage, `--kind must be one of ${Object.values(DocumentKind).join(', ')}`)
}

function problemsOf (kind: DocumentKind, text: string, file: string): readonly Problem[] {
  try {
    PARSERS[kind](text, file)
    return []
  } catch (err) {
    if (err instanceof SettingsError) return err.problems
    throw err
  }
}

function readFleet (file: string, terminal: Terminal): ReturnType<typeof parseFleetConfig> {
  try {
    return parseFleetConfig(terminal.read(file), file)
  } catch (err) {
    if (err instanceof SettingsError) throw new CliError(ExitCode.Usage, err.message, err)
    throw err
  }
}
