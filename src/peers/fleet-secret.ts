/**
 * Mutual TLS authentication of the fleet's processes with a shared secret.
 */
import { createHash } from 'node:crypto'
import type { ConnectionOptions, TlsOptions } from 'node:tls'

/** Identity sent with the pre-shared key; all members share one key. */
const PSK_IDENTITY = 'samphireglade'

/** TLS 1.3 with a pre-shared key authenticates both peers and encrypts the connection without any certificates to manage. */
const TLS_OPTIONS = { minVersion: 'TLSv1.3', ciphers: 'TLS_AES_128_GCM_SHA256' } as const

/** Derives TLS options from the shared secret in the settings. */
export class FleetSecret {
  private readonly _key: Buffer

  constructor (secret: string) {
    this._key = createHash('sha256').update(secret).digest()
  }

  /** Options for the listening side. */
  serverOptions (): TlsOptions {
    return { ...TLS_OPTIONS, pskCallback: (_socket, identity) => identity === PSK_IDENTITY ? this._key : null }
  }

  /** Options for the connecting side. */
  clientOptions (): ConnectionOptions {
    // There is no certificate to check; the handshake fails unless both sides have the key.
    return { ...TLS_OPTIONS, checkServerIdentity: () => undefined, pskCallback: () => ({ psk: this._key, identity: PSK_IDENTITY }) }
  }
}
