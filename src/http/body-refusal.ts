/**
 * Why a request body was not read to its end.
 */

/** `too-large`: over the size limit; `dropped`: all bodies together reached their limit; `slow`: no bytes in time; `disconnected`: the client has closed the connection. */
export type BodyRefusal = 'too-large' | 'dropped' | 'slow' | 'disconnected'
