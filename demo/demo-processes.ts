/**
 * The demo's processes. Only development scripts start processes; the daemons never do.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

/** Folder of the compiled sources. */
const COMPILED = fileURLToPath(new URL('..', import.meta.url))

/** Starts programs and ends those that it started, by their ids. */
export class DemoProcesses {
  /** Folder with settings and logs. */
  readonly folder = mkdtempSync(join(tmpdir(), 'samphireglade-demo-'))
  private readonly _children = new Map<string, ChildProcess>()

  /** Starts a compiled program. Its output goes to a log file. */
  start (name: string, program: string, words: readonly string[]): ChildProcess {
    const child = spawn(process.execPath, [join(COMPILED, program), ...words], { stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this.folder, `${name}.log`))
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    this._children.set(name, child)
    return child
  }

  /** Process id of a program that was started. */
  pid (name: string): number {
    return this._children.get(name)?.pid ?? 0
  }

  /** Writes a settings file and returns its path. */
  write (name: string, text: string): string {
    const path = join(this.folder, name)
    writeFileSync(path, text)
    return path
  }

  /** Ends one program by a planned stop and returns its exit code. */
  async stop (name: string): Promise<number | null> {
    const child = this._children.get(name)
    if (!child || child.exitCode !== null) return child?.exitCode ?? null
    this._children.delete(name)
    child.kill('SIGTERM')
    const [code] = await once(child, 'exit') as [number | null]
    return code
  }

  /** Ends all programs. */
  async stopAll (): Promise<void> {
    for (const child of this._children.values()) child.kill('SIGKILL')
    await Promise.all([...this._children.values()].map(child => child.exitCode === null ? once(child, 'exit') : null))
  }
}
