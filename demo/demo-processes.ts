/**
 * Child processes of the demo. Only development scripts start processes; the daemons never do.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

/** Folder of the compiled sources. */
const COMPILED_FOLDER = fileURLToPath(new URL('..', import.meta.url))

/** Starts compiled programs, and stops by process ID only those that it started. */
export class DemoProcesses {
  /** Folder with settings and logs. */
  readonly folder = mkdtempSync(join(tmpdir(), 'samphireglade-demo-'))
  private readonly _children = new Map<string, ChildProcess>()

  /** Starts a compiled program; its output is written to a log file. */
  start (name: string, program: string, args: readonly string[]): ChildProcess {
    const child = spawn(process.execPath, [join(COMPILED_FOLDER, program), ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    const logFile = createWriteStream(join(this.folder, `${name}.log`))
    child.stdout.pipe(logFile, { end: false })
    child.stderr.pipe(logFile, { end: false })
    this._children.set(name, child)
    return child
  }

  /** Process ID of a program, or 0 if there is none of this name. */
  pid (name: string): number {
    return this._children.get(name)?.pid ?? 0
  }

  /** Writes a settings file and returns its path. */
  writeSettings (name: string, text: string): string {
    const path = join(this.folder, name)
    writeFileSync(path, text)
    return path
  }

  /** Shuts a program down gracefully with SIGTERM and returns its exit code. */
  async stop (name: string): Promise<number | null> {
    const child = this._children.get(name)
    if (!child || child.exitCode !== null) return child?.exitCode ?? null
    this._children.delete(name)
    child.kill('SIGTERM')
    const [code] = await once(child, 'exit') as [number | null]
    return code
  }

  /** Kills all programs that are still running and waits until they have exited. */
  async stopAll (): Promise<void> {
    for (const child of this._children.values()) child.kill('SIGKILL')
    await Promise.all([...this._children.values()].map(child => child.exitCode === null ? once(child, 'exit') : null))
  }
}
