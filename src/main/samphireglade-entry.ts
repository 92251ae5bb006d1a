#!/usr/bin/env node
/**
 * Starts the entry daemon.
 */
import { EntryDaemon } from './entry-daemon.js'

process.exitCode = await new EntryDaemon().main()
// Sockets of callers that keep connections open must not hold the process.
process.exit()
