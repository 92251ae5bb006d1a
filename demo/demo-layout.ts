/**
 * Ports, tokens and settings of the demo's processes.
 */
import { createHash, randomBytes } from 'node:crypto'

/** First port of the demo; endpoints have the ports of the example deployment. */
const BASE_PORT = 21_000

/** Distance between the first ports of two interfaces, and so the maximum number of entry VMs. */
const PORTS_PER_INTERFACE = 20

/** One entry VM, which runs an entry daemon and a control daemon, with the port of each interface. */
interface EntryVirtualMachineLayout {
  readonly name: string
  readonly availabilityZone: string
  readonly callerPort: number
  readonly entryPeerPort: number
  readonly administrationPort: number
  readonly controlPeerPort: number
}

/** Assigns the ports, creates the tokens, and builds the settings files of the daemons. */
export class DemoLayout {
  readonly platformPort: number
  /** Bearer token of the demo's operator. */
  readonly operatorToken = randomBytes(24).toString('base64url')
  readonly entryVirtualMachines: readonly EntryVirtualMachineLayout[]
  private readonly _fleetSecret = randomBytes(24).toString('base64url')

  /**
   * @param names of the entry VMs; the first letter is the availability zone.
   * @param basePort first port; the next 100 are reserved too.
   */
  constructor (names: readonly string[] = ['a', 'b', 'c'], basePort = BASE_PORT) {
    this.platformPort = basePort
    this.entryVirtualMachines = names.map((name, index) => ({
      name,
      availabilityZone: name.slice(0, 1),
      callerPort: basePort + 1 + index,
      entryPeerPort: basePort + 1 + PORTS_PER_INTERFACE + index,
      administrationPort: basePort + 1 + 2 * PORTS_PER_INTERFACE + index,
      controlPeerPort: basePort + 1 + 3 * PORTS_PER_INTERFACE + index
    }))
  }

  /** Settings of an entry daemon, in TOML. */
  entrySettings (entryVirtualMachine: EntryVirtualMachineLayout): string {
    return [
      this._commonSettings(`entry-${entryVirtualMachine.name}`, entryVirtualMachine, entryVirtualMachine.entryPeerPort),
      '[callers]', `address = { host = "127.0.0.1", port = ${entryVirtualMachine.callerPort} }`,
      '[stop]', 'readinessGraceMilliseconds = 500'
    ].join('\n')
  }

  /** Settings of a control daemon, in TOML. */
  controlSettings (entryVirtualMachine: EntryVirtualMachineLayout): string {
    const tokenSha256 = createHash('sha256').update(this.operatorToken).digest('hex')
    return [
      this._commonSettings(`control-${entryVirtualMachine.name}`, entryVirtualMachine, entryVirtualMachine.controlPeerPort),
      '[administration]', `address = { host = "127.0.0.1", port = ${entryVirtualMachine.administrationPort} }`,
      `operators = [{ name = "demo", tokenSha256 = "${tokenSha256}" }]`
    ].join('\n')
  }

  private _commonSettings (id: string, entryVirtualMachine: EntryVirtualMachineLayout, peerPort: number): string {
    const seeds = this.entryVirtualMachines.map(seed => `{ host = "127.0.0.1", port = ${seed.entryPeerPort} }`).join(', ')
    return [
      '[process]', `id = "${id}"`, `host = "entry-vm-${entryVirtualMachine.name}"`, `availabilityZone = "${entryVirtualMachine.availabilityZone}"`,
      '[platform]', `address = { host = "127.0.0.1", port = ${this.platformPort} }`,
      '[peers]', `address = { host = "127.0.0.1", port = ${peerPort} }`, `seeds = [${seeds}]`, `secret = "${this._fleetSecret}"`
    ].join('\n')
  }
}
