#!/usr/bin/env node
/**
 * Entry point of the daemon for the users' platform. Handles SIGHUP before any module is loaded, since its default action ends the process.
 */
process.on('SIGHUP', () => {})
const { NodeDaemon } = await import('./node-daemon.js')

process.exitCode = await new NodeDaemon().main()
// Connections that callers keep open must not keep the process alive.
process.exit()
