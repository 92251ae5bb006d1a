/**
 * One process of the system under test.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream, writeFileSync } from 'node:fs'

/** The program as it is deployed. */
const PROGRAM = 'target/samphireglade-node.mjs'

/** Time that Node takes until the program's first statement, in milliseconds; until then SIGHUP ends any program. */
const BOOT_MILLISECONDS = 1_000

/** What a process is started with. */
interface NodeLayout {
  readonly name: string
  readonly zone: string
  /** Address of its VM. */
  readonly host: string
  readonly ports: { readonly callers: number, readonly readiness: number, readonly metrics: number }
  readonly storePort: number
  readonly machinesPort: number
  /** Folder for settings and logs. */
  readonly folder: string
}

/** Starts the program, sends it signals, and starts it again. */
export class NodeProcess {
  /** Whether it was asked to stop in good order and hasn't ended yet. */
  isStopping = false
  /** Ends that nobody asked for. */
  readonly unexpectedEnds: string[] = []
  private _child: ChildProcess | null = null
  private _isEndExpected = false
  private _startedAt = 0

  constructor (readonly layout: NodeLayout) {
    writeFileSync(this._settingsPath, this._settings())
  }

  /** Where callers send requests. */
  get origin (): string {
    return `http://${this.layout.host}:${this.layout.ports.callers}`
  }

  /** Whether the process lives. */
  get isRunning (): boolean {
    return this._child !== null
  }

  /** Starts the process; one that lives stays. */
  start (): void {
    if (this._child) return
    const log = createWriteStream(`${this.layout.folder}/${this.layout.name}.log`, { flags: 'a' })
    const child = spawn(process.execPath, [PROGRAM, '--settings', this._settingsPath], { stdio: ['ignore', 'pipe', 'pipe'], env: {} })
    this._child = child
    this._isEndExpected = false
    this._startedAt = Date.now()
    this.isStopping = false
    child.stdout?.pipe(log, { end: false })
    child.stderr?.pipe(log, { end: false })
    child.on('exit', (code, signal) => {
      if (!this._isEndExpected) this.unexpectedEnds.push(`${this.layout.name} ended with ${code ?? signal}`)
      if (this._child === child) this._child = null
      this.isStopping = false
      log.end()
    })
  }

  /** Stops in good order; SIGKILL follows when the grace time is over. */
  async stop (graceMilliseconds: number): Promise<void> {
    const child = this._child
    if (!child) return
    this._isEndExpected = true
    this.isStopping = true
    child.kill('SIGCONT')
    child.kill('SIGTERM')
    await this._ended(child, graceMilliseconds)
    child.kill('SIGKILL')
    await this._ended(child, graceMilliseconds)
  }

  /** Kills the process. */
  async kill (): Promise<void> {
    const child = this._child
    if (!child) return
    this._isEndExpected = true
    child.kill('SIGKILL')
    await this._ended(child, Infinity)
  }

  /** Sends a signal that doesn't end the process. */
  signal (name: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    if (name === 'SIGHUP' && Date.now() < this._startedAt + BOOT_MILLISECONDS) return
    this._child?.kill(name)
  }

  private _ended (child: ChildProcess, milliseconds: number): Promise<void> {
    if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve()
    return new Promise(resolve => {
      const timer = milliseconds === Infinity ? null : setTimeout(resolve, milliseconds)
      child.once('exit', () => {
        if (timer) clearTimeout(timer)
        resolve()
      })
    })
  }

  private get _settingsPath (): string {
    return `${this.layout.folder}/${this.layout.name}.toml`
  }

  private _settings (): string {
    const { name, zone, host, ports, storePort, machinesPort } = this.layout
    return [
      '[process]', `id = "${name}"`, `availabilityZone = "${zone}"`,
      '[listen]', `callers = "${host}:${ports.callers}"`, `readiness = "${host}:${ports.readiness}"`, `metrics = "${host}:${ports.metrics}"`,
      '[platform]', `store = "127.0.0.1:${storePort}"`, `machines = "127.0.0.1:${machinesPort}"`, 'advice = ""',
      '[bounds]', 'maximumLeaseMilliseconds = 6000', 'statusRetentionMilliseconds = 120000', 'holderChangeMilliseconds = 3000', 'moveMilliseconds = 1500', 'maintenanceMilliseconds = 2000', ''
    ].join('\n')
  }
}
