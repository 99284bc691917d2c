/** Begin of a response head, up to the character after the status. */
const BEGIN = /^HTTP\/1\.[01] [1-5]\d\d[ \r\n]/
const BEGIN_BYTES = 'HTTP/1.1 200 '.length
const INTERIM = /^.{9}1/

const LF = 0x0a
const CR = 0x0d

/** Part of a response that the next byte belongs to. */
enum Part {
  /** Line ends before the status line, or the begin of that line. */
  Begin = 'begin',
  /** Rest of the head of an interim response, which another head follows. */
  InterimHead = 'interim-head',
  /** Anything behind the begin of the head of the final response. */
  Rest = 'rest',
  Malformed = 'malformed'
}

/**
 * Checks the begin of each response head of a connection: version 1.0 or 1.1 of the protocol and a status from 100 to 599
 * (RFC 9110, section 15). The parser of undici accepts further versions and statuses, and does not report the version.
 *
 * Framing is not looked at, so each final response has to be announced.
 */
export class ResponseHeadCheck {
  private _part = Part.Begin
  private _begin = ''
  /** Whether the line that the next byte belongs to is empty so far. */
  private _lineIsEmpty = false

  /** Announces that a request is about to be sent, so that the next bytes begin a response. */
  expectResponse (): void {
    this._part = Part.Begin
    this._begin = ''
  }

  /**
   * Checks received bytes.
   *
   * @param chunk - The bytes.
   * @returns Whether they may be a part of a valid response.
   */
  accepts (chunk: Buffer): boolean {
    if (this._part !== Part.Rest) chunk.some(byte => this._read(byte) === Part.Rest || this._part === Part.Malformed)
    return this._part !== Part.Malformed
  }

  private _read (byte: number): Part {
    if (this._part === Part.Begin) this._readBegin(byte)
    else if (this._part === Part.InterimHead) this._readInterimHead(byte)
    return this._part
  }

  private _readBegin (byte: number): void {
    if (this._begin === '' && (byte === CR || byte === LF)) return
    this._begin += String.fromCharCode(byte)
    if (this._begin.length < BEGIN_BYTES) return
    this._part = partAfter(this._begin)
    this._lineIsEmpty = byte === LF
    this._begin = ''
  }

  private _readInterimHead (byte: number): void {
    if (byte === LF && this._lineIsEmpty) this._part = Part.Begin
    this._lineIsEmpty = byte === LF || (byte === CR && this._lineIsEmpty)
  }
}

function partAfter (begin: string): Part {
  if (!BEGIN.test(begin)) return Part.Malformed
  return INTERIM.test(begin) ? Part.InterimHead : Part.Rest
}
