/**
 * Creates clients for addresses.
 */
import type { CallClient } from './call-client.js'

/** Implemented over HTTP, and in tests by an emulator in the same process. */
export abstract class Dialer {
  /**
   * Creates a client for an address. Connections are opened on the first call.
   *
   * @param address IP address and port.
   * @param maximumConnections maximum number of connections that are open at once.
   */
  abstract dial (address: string, maximumConnections: number): CallClient
}
