/**
 * Starts the simulated platform: `node platform.js HOST PORT`.
 */
import { PlatformServer } from './platform-server.js'

const [host = '127.0.0.1', port = '0'] = process.argv.slice(2)
console.log(`platform is listening on port ${await new PlatformServer().listen(host, Number(port))}`)
