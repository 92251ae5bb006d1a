/**
 * Where everything of the demo listens.
 */
import { createHash, randomBytes } from 'node:crypto'

/** First port of the demo; endpoints have the ports of the example deployment. */
const BASE_PORT = 21_000

/** Availability zones of the demo. */
const ZONES = ['a', 'b', 'c'] as const

/** One availability zone's daemons. */
interface ZoneLayout {
  readonly name: string
  readonly callers: number
  readonly entryPeers: number
  readonly administration: number
  readonly controlPeers: number
}

/** Ports, tokens and settings files of the demo's processes. */
export class DemoLayout {
  readonly platformPort = BASE_PORT
  readonly token = randomBytes(24).toString('base64url')
  readonly zones: readonly ZoneLayout[] = ZONES.map((name, index) => ({
    name,
    callers: BASE_PORT + 10 + index,
    entryPeers: BASE_PORT + 20 + index,
    administration: BASE_PORT + 30 + index,
    controlPeers: BASE_PORT + 40 + index
  }))

  private readonly _secret = randomBytes(24).toString('base64url')

  /** Settings of a zone's entry daemon, in TOML. */
  entrySettings (zone: ZoneLayout): string {
    return [
      this._common(`entry-${zone.name}`, zone.name, zone.entryPeers),
      '[callers]', `address = { host = "127.0.0.1", port = ${zone.callers} }`,
      '[stop]', 'readinessGraceMilliseconds = 500'
    ].join('\n')
  }

  /** Settings of a zone's control daemon, in TOML. */
  controlSettings (zone: ZoneLayout): string {
    const tokenSha256 = createHash('sha256').update(this.token).digest('hex')
    return [
      this._common(`control-${zone.name}`, zone.name, zone.controlPeers),
      '[administration]', `address = { host = "127.0.0.1", port = ${zone.administration} }`,
      `operators = [{ name = "demo", tokenSha256 = "${tokenSha256}" }]`
    ].join('\n')
  }

  private _common (id: string, zone: string, peerPort: number): string {
    const seeds = this.zones.map(other => `{ host = "127.0.0.1", port = ${other.entryPeers} }`).join(', ')
    return [
      '[process]', `id = "${id}"`, `host = "entry-vm-${zone}"`, `availabilityZone = "${zone}"`,
      '[platform]', `address = { host = "127.0.0.1", port = ${this.platformPort} }`,
      '[peers]', `address = { host = "127.0.0.1", port = ${peerPort} }`, `seeds = [${seeds}]`, `secret = "${this._secret}"`
    ].join('\n')
  }
}
