/** Document with its own revision. */
export interface RevisionedDocument {
  /** Increases with every change. */
  readonly revision: number
}

/** Hashes and parses one kind of published document. */
export abstract class DocumentCodec<T extends RevisionedDocument> {
  /**
   * Hashes a published text.
   *
   * @param text - Published text.
   * @returns Its collision-resistant digest (SHA-256) in hexadecimal.
   */
  abstract digest (text: string): string

  /**
   * Parses and validates a published text.
   *
   * @param text - Published text.
   * @returns The validated document.
   * @throws JaymillError when the text is not a valid document.
   */
  abstract parse (text: string): T
}
