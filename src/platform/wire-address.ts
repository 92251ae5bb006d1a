/**
 * The wire format of addresses.
 */
import * as z from 'zod'

const MAXIMUM_PORT = 65_535

const IPV4_ADDRESS = z.ipv4()

/** An IPv4 address and a port from 1 on, separated by a colon. */
export const WireAddress = z.string().max(21).refine(text => {
  const [host = '', port = ''] = text.split(':')
  return text === `${host}:${port}` && IPV4_ADDRESS.safeParse(host).success && /^[1-9]\d{0,4}$/.test(port) && Number(port) <= MAXIMUM_PORT
}, 'must be an IPv4 address and a port')
