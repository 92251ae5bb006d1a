#!/usr/bin/env node
/**
 * Entry point of the entry daemon.
 */
import { EntryDaemon } from './entry-daemon.js'

process.exitCode = await new EntryDaemon().main()
// Connections that callers keep open must not keep the process alive.
process.exit()
