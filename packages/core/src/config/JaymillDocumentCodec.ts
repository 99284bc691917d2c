/** A document with a revision of its own. */
export interface RevisionedDocument {
  /** Rises with every change. */
  readonly revision: number
}

/** Reads one kind of published document. */
export abstract class DocumentCodec<T extends RevisionedDocument> {
  /**
   * @param text - Published text.
   * @returns Its collision-resistant digest (SHA-256) in hexadecimal.
   */
  abstract digest (text: string): string

  /**
   * @param text - Published text.
   * @returns The checked document.
   * @throws JaymillError when the text is not a valid document.
   */
  abstract parse (text: string): T
}
