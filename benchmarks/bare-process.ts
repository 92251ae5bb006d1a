/**
 * A Node process that does nothing but listen.
 */
import { createServer } from 'node:http'

createServer().listen(0, '127.0.0.1')
