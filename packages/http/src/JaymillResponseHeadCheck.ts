/** Begin of a response head, up to the character after the status. */
const BEGIN = /^HTTP\/1\.[01] [1-5]\d\d[ \r\n]/
const BEGIN_BYTES = 'HTTP/1.1 200 '.length
const INTERIM = /^.{9}1/

/** Maximum size of the heads of a response, interim ones included, in bytes as received. */
const MAX_HEAD_BYTES = 65_536

/** Maximum number of lines of these heads. The parser keeps each field as an object, however short it is. */
const MAX_HEAD_LINES = 512

const LF = 0x0a
const CR = 0x0d

/** Part of a response that the next byte belongs to. */
enum Part {
  /** Line ends before the status line, or the begin of that line. */
  Begin = 'begin',
  /** Rest of the head of an interim response, which another head follows. */
  InterimHead = 'interim-head',
  /** Rest of the head of the final response. */
  FinalHead = 'final-head',
  /** Anything behind the head of the final response. */
  Rest = 'rest',
  Malformed = 'malformed',
  TooLarge = 'too-large'
}

/** What is known of the heads of a response. */
export enum HeadVerdict {
  /** The bytes may be a part of a valid response. */
  Accepted = 'accepted',
  Malformed = 'malformed',
  /** The heads exceed a limit. */
  TooLarge = 'too-large'
}

const VERDICTS: Readonly<Partial<Record<Part, HeadVerdict>>> = { [Part.Malformed]: HeadVerdict.Malformed, [Part.TooLarge]: HeadVerdict.TooLarge }

/**
 * Checks each response head of a connection: version 1.0 or 1.1 of the protocol, a status from 100 to 599 (RFC 9110, section 15), its
 * size and its number of lines. The parser of undici accepts further versions and statuses, does not report the version, and limits the
 * bytes of names and values alone.
 *
 * Framing is not looked at, so each final response has to be announced.
 */
export class ResponseHeadCheck {
  private _part = Part.Begin
  private _begin = ''
  private _bytes = 0
  private _lines = 0
  /** Whether the line that the next byte belongs to is empty so far. */
  private _lineIsEmpty = false

  /** Announces that a request is about to be sent, so that the next bytes begin a response. */
  expectResponse (): void {
    this._part = Part.Begin
    this._begin = ''
    this._bytes = 0
    this._lines = 0
  }

  /**
   * Checks received bytes.
   *
   * @param chunk - The bytes.
   * @returns What is known of the heads of the response.
   */
  check (chunk: Buffer): HeadVerdict {
    let rest = chunk
    while (rest.length > 0 && this._part !== Part.Rest && !(this._part in VERDICTS)) rest = rest.subarray(this._read(rest))
    return VERDICTS[this._part] ?? HeadVerdict.Accepted
  }

  /** Reads a byte of the begin, or up to the end of a line of a head. Returns the number of bytes. */
  private _read (bytes: Buffer): number {
    const isBegin = this._part === Part.Begin
    const end = isBegin ? 0 : bytes.indexOf(LF)
    const read = bytes.subarray(0, end === -1 ? bytes.length : end + 1)
    const endsLine = read.at(-1) === LF
    if (isBegin) this._readBegin(read[0] ?? LF)
    else this._readLine(read, endsLine)
    this._bytes += read.length
    this._lines += Number(endsLine)
    if (this._bytes > MAX_HEAD_BYTES || this._lines > MAX_HEAD_LINES) this._part = Part.TooLarge
    return read.length
  }

  private _readBegin (byte: number): void {
    if (this._begin === '' && (byte === CR || byte === LF)) return
    this._begin += String.fromCharCode(byte)
    if (this._begin.length < BEGIN_BYTES) return
    this._part = partAfter(this._begin)
    this._lineIsEmpty = byte === LF
    this._begin = ''
  }

  private _readLine (bytes: Buffer, endsLine: boolean): void {
    this._lineIsEmpty &&= bytes.every(byte => byte === CR || byte === LF)
    if (!endsLine) return
    if (this._lineIsEmpty) this._part = this._part === Part.InterimHead ? Part.Begin : Part.Rest
    this._lineIsEmpty = true
  }
}

function partAfter (begin: string): Part {
  if (!BEGIN.test(begin)) return Part.Malformed
  return INTERIM.test(begin) ? Part.InterimHead : Part.FinalHead
}
