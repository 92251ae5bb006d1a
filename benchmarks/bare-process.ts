/**
 * Node process with only an HTTP server, as a baseline of memory use.
 */
import { createServer } from 'node:http'

createServer().listen(0, '127.0.0.1')
