import { parse } from 'jsonc-parser'

/** Kinds of documents that operators write. */
export enum DocumentKind {
  HostSettings = 'host-settings',
  Fleet = 'fleet',
  HostList = 'host-list'
}

/**
 * Guesses the kind of a document from its top-level keys.
 *
 * @param text - JSON with comments; may contain syntax errors.
 * @returns The kind; host settings when no key indicates another kind.
 */
export function guessDocumentKind (text: string): DocumentKind {
  const value: unknown = parse(text.slice(0, MAX_GUESS_CHARS))
  const keys = typeof value === 'object' && value !== null ? Object.keys(value) : []
  if (FLEET_KEYS.some(key => keys.includes(key))) return DocumentKind.Fleet
  return keys.includes('hosts') ? DocumentKind.HostList : DocumentKind.HostSettings
}

const MAX_GUESS_CHARS = 4_096
const FLEET_KEYS = ['pools', 'models', 'services', 'routes', 'accounts']
