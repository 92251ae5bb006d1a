#!/usr/bin/env node
/**
 * Starts the daemon on the users' platform.
 */

// Before anything is loaded: a reload that is asked for meanwhile would end the process, and the settings are read only afterwards.
process.on('SIGHUP', () => {})
const { NodeDaemon } = await import('./node-daemon.js')

process.exitCode = await new NodeDaemon().main()
// Sockets of callers that keep connections open must not hold the process.
process.exit()
