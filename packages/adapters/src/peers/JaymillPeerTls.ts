/** TLS material of one host; with it both sides prove who they are. */
export interface PeerTls {
  /** Private key in PEM form. */
  readonly key: string
  /** Certificate in PEM form; it names the host's IP number. */
  readonly cert: string
  /** Certificates of the authorities that sign hosts, in PEM form. */
  readonly ca: string
}
