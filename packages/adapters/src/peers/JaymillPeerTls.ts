/** TLS key and certificates of one host for mutual authentication. */
export interface PeerTls {
  /** Private key in PEM form. */
  readonly key: string
  /** Certificate in PEM form; it must name the host's IP address. */
  readonly cert: string
  /** Certificates of the authorities that sign the host certificates, in PEM form. */
  readonly ca: string
}
