/**
 * Starts a simulated endpoint: `node endpoint.js HOST PORT VM POOL WORK_MILLISECONDS`.
 */
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'
import { EndpointServer } from './endpoint-server.js'

const [host = '127.0.0.1', port = '0', virtualMachine = 'vm', pool = 'pool', workMilliseconds = '20'] = process.argv.slice(2)
const endpoint = new EndpointServer({
  virtualMachine,
  pool,
  slots: 8,
  maximumConnections: 64,
  workMilliseconds: Number(workMilliseconds),
  random: new SeededRandomSource(Number(port))
})
console.log(`endpoint ${virtualMachine} is listening on port ${await endpoint.listen(host, Number(port))}`)
