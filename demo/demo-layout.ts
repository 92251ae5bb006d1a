/**
 * Where everything of the demo listens.
 */
import { createHash, randomBytes } from 'node:crypto'

/** First port of the demo; endpoints have the ports of the example deployment. */
const BASE_PORT = 21_000

/** Room for ports of one kind. */
const PORTS_OF_A_KIND = 20

/** One entry VM's daemons. */
interface SiteLayout {
  readonly name: string
  readonly zone: string
  readonly callers: number
  readonly entryPeers: number
  readonly administration: number
  readonly controlPeers: number
}

/** Ports, tokens and settings files of the demo's processes. */
export class DemoLayout {
  readonly platformPort: number
  readonly token = randomBytes(24).toString('base64url')
  readonly sites: readonly SiteLayout[]
  private readonly _secret = randomBytes(24).toString('base64url')

  /**
   * @param names of the entry VMs; the first letter is the availability zone.
   * @param basePort first port used; the next 100 are taken as well.
   */
  constructor (names: readonly string[] = ['a', 'b', 'c'], basePort = BASE_PORT) {
    this.platformPort = basePort
    this.sites = names.map((name, index) => ({
      name,
      zone: name.slice(0, 1),
      callers: basePort + 1 + index,
      entryPeers: basePort + 1 + PORTS_OF_A_KIND + index,
      administration: basePort + 1 + 2 * PORTS_OF_A_KIND + index,
      controlPeers: basePort + 1 + 3 * PORTS_OF_A_KIND + index
    }))
  }

  /** Settings of an entry daemon, in TOML. */
  entrySettings (site: SiteLayout): string {
    return [
      this._common(`entry-${site.name}`, site, site.entryPeers),
      '[callers]', `address = { host = "127.0.0.1", port = ${site.callers} }`,
      '[stop]', 'readinessGraceMilliseconds = 500'
    ].join('\n')
  }

  /** Settings of a control daemon, in TOML. */
  controlSettings (site: SiteLayout): string {
    const tokenSha256 = createHash('sha256').update(this.token).digest('hex')
    return [
      this._common(`control-${site.name}`, site, site.controlPeers),
      '[administration]', `address = { host = "127.0.0.1", port = ${site.administration} }`,
      `operators = [{ name = "demo", tokenSha256 = "${tokenSha256}" }]`
    ].join('\n')
  }

  private _common (id: string, site: SiteLayout, peerPort: number): string {
    const seeds = this.sites.map(other => `{ host = "127.0.0.1", port = ${other.entryPeers} }`).join(', ')
    return [
      '[process]', `id = "${id}"`, `host = "entry-vm-${site.name}"`, `availabilityZone = "${site.zone}"`,
      '[platform]', `address = { host = "127.0.0.1", port = ${this.platformPort} }`,
      '[peers]', `address = { host = "127.0.0.1", port = ${peerPort} }`, `seeds = [${seeds}]`, `secret = "${this._secret}"`
    ].join('\n')
  }
}
