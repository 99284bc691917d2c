import {
  createScanner, findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode, SyntaxKind,
  type Node, type ParseError
} from 'jsonc-parser'
import { MAX_DEPTH, MAX_VALUE_BYTES } from './constants.js'
import type { Problem } from './JaymillSettingsError.js'

/** Path of a value: object keys and array indexes. */
export type ValuePath = ReadonlyArray<string | number>

/** A problem that is not yet mapped to a position in the text. */
export interface Finding {
  readonly path: ValuePath
  readonly message: string
  /** Whether the problem concerns the key rather than its value. */
  readonly atKey?: boolean
}

/** A parsed JSON document that maps the paths of its values to positions in the text. */
export class JsonDocument {
  private readonly _text: string
  private readonly _root: Node | undefined
  private readonly _lineStarts: readonly number[]
  /** Problems of the text itself: size, nesting, syntax and keys. */
  readonly syntaxProblems: readonly Problem[]

  /**
   * @param text - JSON with comments and trailing commas.
   */
  constructor (text: string) {
    this._text = text
    this._lineStarts = [0, ...[...text.matchAll(/\r\n|\r|\n/g)].map(match => match.index + match[0].length)]
    const sizeProblems = this._sizeProblems()
    const errors: ParseError[] = []
    this._root = sizeProblems.length > 0 ? undefined : parseTree(text, errors, { allowTrailingComma: true })
    const syntaxErrors = errors.map(err => this._problemAt(err.offset, '', syntaxMessage(err)))
    this.syntaxProblems = [...sizeProblems, ...syntaxErrors, ...this._keyProblems(this._root, [])]
  }

  /**
   * Converts the document to a plain value.
   *
   * @returns The parsed value; `undefined` when the text contains none.
   */
  value (): unknown {
    return this._root === undefined ? undefined : getNodeValue(this._root)
  }

  /**
   * Maps a finding to its position in the text.
   *
   * @param finding - Problem with the path of its value; a missing value is reported at its nearest existing parent.
   * @returns The problem with line and column.
   */
  locate (finding: Finding): Problem {
    const node = this._nearestNode(finding.path)
    const keyNode = finding.atKey === true ? node?.parent?.children?.[0] : undefined
    return this._problemAt((keyNode ?? node)?.offset ?? 0, formatPath(finding.path), finding.message)
  }

  private _nearestNode (path: ValuePath): Node | undefined {
    if (this._root === undefined) return undefined
    const node = findNodeAtLocation(this._root, [...path])
    return node ?? (path.length === 0 ? this._root : this._nearestNode(path.slice(0, -1)))
  }

  private _problemAt (offset: number, path: string, message: string): Problem {
    const nextLineIndex = this._lineStarts.findIndex(start => start > offset)
    const line = nextLineIndex === -1 ? this._lineStarts.length : nextLineIndex
    return { path, line, column: offset - (this._lineStarts[line - 1] ?? 0) + 1, message }
  }

  private _sizeProblems (): Problem[] {
    const bytes = Buffer.byteLength(this._text)
    if (bytes > MAX_VALUE_BYTES) {
      return [this._problemAt(0, '', `has ${bytes} bytes; the limit is ${MAX_VALUE_BYTES} bytes`)]
    }
    const offset = offsetBeyondMaxDepth(this._text)
    return offset === undefined ? [] : [this._problemAt(offset, '', `is nested more than ${MAX_DEPTH} levels deep`)]
  }

  private _keyProblems (node: Node | undefined, path: ValuePath): Problem[] {
    const children = node?.children ?? []
    if (node?.type === 'array') return children.flatMap((child, i) => this._keyProblems(child, [...path, i]))
    if (node?.type !== 'object') return []
    const seen = new Set<string>()
    return children.flatMap(property => {
      const [keyNode, valueNode] = property.children ?? []
      const key = String(keyNode?.value)
      const keyPath = [...path, key]
      const message = keyMessage(key, seen)
      seen.add(key)
      const keyProblems = message === undefined ? [] : [this._problemAt(property.offset, formatPath(keyPath), message)]
      return [...keyProblems, ...this._keyProblems(valueNode, keyPath)]
    })
  }
}

/**
 * Formats a path for messages.
 *
 * @param path - Object keys and array indexes.
 * @returns Text such as `pools[0].id`.
 */
export function formatPath (path: ValuePath): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`
    return text === '' ? part : `${text}.${part}`
  }, '')
}

function keyMessage (key: string, seen: ReadonlySet<string>): string | undefined {
  if (key === '__proto__') return 'this key is not allowed'
  return seen.has(key) ? 'duplicate key' : undefined
}

function syntaxMessage (err: ParseError): string {
  const errorName = printParseErrorCode(err.error).replace(/([a-z])([A-Z])/g, '$1 $2').toLowerCase()
  return `JSON syntax: ${errorName}`
}

function offsetBeyondMaxDepth (text: string): number | undefined {
  const scanner = createScanner(text, true)
  let depth = 0
  for (let token = scanner.scan(); token !== SyntaxKind.EOF; token = scanner.scan()) {
    if (token === SyntaxKind.OpenBraceToken || token === SyntaxKind.OpenBracketToken) depth += 1
    if (token === SyntaxKind.CloseBraceToken || token === SyntaxKind.CloseBracketToken) depth -= 1
    if (depth > MAX_DEPTH) return scanner.getTokenOffset()
  }
  return undefined
}
