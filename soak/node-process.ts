/**
 * A process of the system under test.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream, writeFileSync } from 'node:fs'

/** The bundled program, as it is deployed. */
const PROGRAM = 'target/samphireglade-node.mjs'

/** Module that binds the connections of a process to the address of its VM, so that proxies can tell processes apart. */
const connectionBinder = (host: string): string => `data:text/javascript,${encodeURIComponent(`
import { Socket } from 'node:net'
const { connect } = Socket.prototype
Socket.prototype.connect = function (...options) {
  const [first] = options.flat()
  if (typeof first === 'object' && first !== null) first.localAddress ??= '${host}'
  return connect.apply(this, options)
}`)}`

/** Time that Node takes to reach the program's first statement, which installs the SIGHUP handler; until then SIGHUP terminates the process. */
const NODE_STARTUP_MILLISECONDS = 1_000

/** Configuration of a process. */
interface NodeConfiguration {
  readonly name: string
  readonly zone: string
  /** IP address of the process's VM. */
  readonly host: string
  readonly ports: { readonly callers: number, readonly readiness: number, readonly metrics: number }
  readonly storePort: number
  readonly virtualMachinesPort: number
  /** Longest lease that workers grant, in milliseconds. */
  readonly maximumLeaseMilliseconds: number
  /** Folder for the settings and the log of the process. */
  readonly folder: string
  /** Options of Node, such as the size of the heap. */
  readonly nodeOptions?: readonly string[]
  /** Further sections of the settings file, in TOML. */
  readonly furtherSettings?: string
}

/** Starts, signals and restarts the program, and records unexpected exits. */
export class NodeProcess {
  /** Whether a graceful shutdown was requested and the process has not exited yet. */
  isStopping = false
  /** Descriptions of exits that weren't requested. */
  readonly unexpectedExits: string[] = []
  private _child: ChildProcess | null = null
  private _isExitExpected = false
  private _startedAt = 0

  constructor (readonly configuration: NodeConfiguration) {
    writeFileSync(this._settingsPath, this._settings())
  }

  /** Origin of the URLs that callers send requests to. */
  get origin (): string {
    return `http://${this.configuration.host}:${this.configuration.ports.callers}`
  }

  /** Whether the process is running. */
  get isRunning (): boolean {
    return this._child !== null
  }

  /** Process ID, or null if the process isn't running. */
  get processId (): number | null {
    return this._child?.pid ?? null
  }

  /** Starts the process if it isn't running. */
  start (): void {
    if (this._child) return
    const log = createWriteStream(`${this.configuration.folder}/${this.configuration.name}.log`, { flags: 'a' })
    const child = spawn(process.execPath, ['--import', connectionBinder(this.configuration.host), ...this.configuration.nodeOptions ?? [], PROGRAM, '--settings', this._settingsPath], { stdio: ['ignore', 'pipe', 'pipe'], env: {} })
    this._child = child
    this._isExitExpected = false
    this._startedAt = Date.now()
    this.isStopping = false
    child.stdout?.pipe(log, { end: false })
    child.stderr?.pipe(log, { end: false })
    child.on('exit', (code, signal) => {
      if (!this._isExitExpected) this.unexpectedExits.push(`${this.configuration.name} exited unexpectedly with ${code ?? signal}`)
      if (this._child === child) this._child = null
      this.isStopping = false
      log.end()
    })
  }

  /** Shuts the process down gracefully, and kills it after the grace period. */
  async stop (graceMilliseconds: number): Promise<void> {
    const child = this._child
    if (!child) return
    this._isExitExpected = true
    this.isStopping = true
    child.kill('SIGCONT')
    child.kill('SIGTERM')
    await this._waitForExit(child, graceMilliseconds)
    child.kill('SIGKILL')
    await this._waitForExit(child, graceMilliseconds)
  }

  /** Kills the process and waits until it has exited. */
  async kill (): Promise<void> {
    const child = this._child
    if (!child) return
    this._isExitExpected = true
    child.kill('SIGKILL')
    await this._waitForExit(child, Infinity)
  }

  /** Sends a signal that doesn't terminate the process; SIGHUP is skipped while the process is starting. */
  signal (name: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    if (name === 'SIGHUP' && Date.now() < this._startedAt + NODE_STARTUP_MILLISECONDS) return
    this._child?.kill(name)
  }

  private _waitForExit (child: ChildProcess, timeoutMilliseconds: number): Promise<void> {
    if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve()
    return new Promise(resolve => {
      const timer = timeoutMilliseconds === Infinity ? null : setTimeout(resolve, timeoutMilliseconds)
      child.once('exit', () => {
        if (timer) clearTimeout(timer)
        resolve()
      })
    })
  }

  private get _settingsPath (): string {
    return `${this.configuration.folder}/${this.configuration.name}.toml`
  }

  private _settings (): string {
    const { name, zone, host, ports, storePort, virtualMachinesPort, maximumLeaseMilliseconds, furtherSettings = '' } = this.configuration
    return [
      '[process]', `id = "${name}"`, `availabilityZone = "${zone}"`,
      '[listen]', `callers = "${host}:${ports.callers}"`, `readiness = "${host}:${ports.readiness}"`, `metrics = "${host}:${ports.metrics}"`,
      '[platform]', `store = "127.0.0.1:${storePort}"`, `machines = "127.0.0.1:${virtualMachinesPort}"`, 'advice = ""',
      '[bounds]', `maximumLeaseMilliseconds = ${maximumLeaseMilliseconds}`, 'maximumCallDelayMilliseconds = 12000', 'statusRetentionMilliseconds = 120000', 'holderChangeMilliseconds = 3000', 'moveMilliseconds = 1500', 'maintenanceMilliseconds = 2000', furtherSettings, ''
    ].join('\n')
  }
}
