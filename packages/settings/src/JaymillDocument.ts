import {
  createScanner, findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode, SyntaxKind,
  type Node, type ParseError
} from 'jsonc-parser'
import { MAX_DEPTH, MAX_VALUE_BYTES } from './constants.js'
import type { Problem } from './JaymillSettingsError.js'

/** Path of a value: keys and array positions. */
export type ValuePath = ReadonlyArray<string | number>

/** A fault before its place in the text is known. */
export interface Finding {
  readonly path: ValuePath
  readonly message: string
  /** Whether the key is at fault rather than its value. */
  readonly atKey?: boolean
}

/** A parsed document that can tell where its values stand in the text. */
export class JsonDocument {
  private readonly _text: string
  private readonly _root: Node | undefined
  private readonly _lineStarts: readonly number[]
  /** Faults of the text itself. */
  readonly syntaxProblems: readonly Problem[]

  /**
   * @param text - JSON with comments and trailing commas.
   */
  constructor (text: string) {
    this._text = text
    this._lineStarts = [0, ...[...text.matchAll(/\r\n|\r|\n/g)].map(match => match.index + match[0].length)]
    const refused = this._sizeProblems()
    const errors: ParseError[] = []
    this._root = refused.length > 0 ? undefined : parseTree(text, errors, { allowTrailingComma: true })
    const syntax = errors.map(err => this._problemAt(err.offset, '', syntaxMessage(err)))
    this.syntaxProblems = [...refused, ...syntax, ...this._keyProblems(this._root, [])]
  }

  /**
   * @returns The value of the document; `undefined` when the text holds none.
   */
  value (): unknown {
    return this._root === undefined ? undefined : getNodeValue(this._root)
  }

  /**
   * Finds the place of a fault.
   *
   * @param finding - Fault with the path of its value; a missing value is placed at its nearest parent.
   * @returns The fault with line and column.
   */
  locate (finding: Finding): Problem {
    const node = this._nearest(finding.path)
    const keyNode = finding.atKey === true ? node?.parent?.children?.[0] : undefined
    return this._problemAt((keyNode ?? node)?.offset ?? 0, formatPath(finding.path), finding.message)
  }

  private _nearest (path: ValuePath): Node | undefined {
    if (this._root === undefined) return undefined
    const node = findNodeAtLocation(this._root, [...path])
    return node ?? (path.length === 0 ? this._root : this._nearest(path.slice(0, -1)))
  }

  private _problemAt (offset: number, path: string, message: string): Problem {
    const after = this._lineStarts.findIndex(start => start > offset)
    const line = after === -1 ? this._lineStarts.length : after
    return { path, line, column: offset - (this._lineStarts[line - 1] ?? 0) + 1, message }
  }

  private _sizeProblems (): Problem[] {
    const bytes = Buffer.byteLength(this._text)
    if (bytes > MAX_VALUE_BYTES) {
      return [this._problemAt(0, '', `has ${bytes} bytes; the largest value is ${MAX_VALUE_BYTES} bytes`)]
    }
    const offset = tooDeepAt(this._text)
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
      const here = [...path, key]
      const message = keyMessage(key, seen)
      seen.add(key)
      const own = message === undefined ? [] : [this._problemAt(property.offset, formatPath(here), message)]
      return [...own, ...this._keyProblems(valueNode, here)]
    })
  }
}

/**
 * Writes a path the way operators read it.
 *
 * @param path - Keys and array positions.
 * @returns Such as `pools[0].id`.
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
  const words = printParseErrorCode(err.error).replace(/([a-z])([A-Z])/g, '$1 $2').toLowerCase()
  return `JSON syntax: ${words}`
}

function tooDeepAt (text: string): number | undefined {
  const scanner = createScanner(text, true)
  let depth = 0
  for (let token = scanner.scan(); token !== SyntaxKind.EOF; token = scanner.scan()) {
    if (token === SyntaxKind.OpenBraceToken || token === SyntaxKind.OpenBracketToken) depth += 1
    if (token === SyntaxKind.CloseBraceToken || token === SyntaxKind.CloseBracketToken) depth -= 1
    if (depth > MAX_DEPTH) return scanner.getTokenOffset()
  }
  return undefined
}
