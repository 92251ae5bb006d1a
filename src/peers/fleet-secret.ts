/**
 * The secret that the system's processes share.
 */
import { createHash } from 'node:crypto'
import type { ConnectionOptions, TlsOptions } from 'node:tls'

/** Identity sent with the pre-shared key; all members share one key. */
const IDENTITY = 'samphireglade'

/** TLS 1.3 with a pre-shared key: peers prove the secret to each other and all is encrypted, with no certificates to look after. */
const COMMON = { minVersion: 'TLSv1.3', ciphers: 'TLS_AES_128_GCM_SHA256' } as const

/** Makes TLS options from the secret in the settings. */
export class FleetSecret {
  private readonly _key: Buffer

  constructor (secret: string) {
    this._key = createHash('sha256').update(secret).digest()
  }

  /** Options of the listening side. */
  serverOptions (): TlsOptions {
    return { ...COMMON, pskCallback: (_socket, identity) => identity === IDENTITY ? this._key : null }
  }

  /** Options of the connecting side. */
  clientOptions (): ConnectionOptions {
    // No certificate is involved; the handshake fails unless both sides have the key.
    return { ...COMMON, checkServerIdentity: () => undefined, pskCallback: () => ({ psk: this._key, identity: IDENTITY }) }
  }
}
