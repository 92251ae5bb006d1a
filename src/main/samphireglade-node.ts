#!/usr/bin/env node
/**
 * Starts the daemon on the users' platform. SIGHUP is taken before anything is loaded, since it would end the process by default.
 */
process.on('SIGHUP', () => {})
const { NodeDaemon } = await import('./node-daemon.js')

process.exitCode = await new NodeDaemon().main()
// Sockets of callers that keep connections open must not hold the process.
process.exit()
