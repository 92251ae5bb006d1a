// Clients that send many requests ahead on each connection: `node crowd.mjs KIND HOST PORT CONNECTIONS QUEUE-HOST`.
// `lookups`: 64 requests for the states of unknown jobs at once, then nothing more before all of them are answered.
// `fields`: 64 submissions of 3 KB at once, each with a thousand empty steps and without a key, then nothing more before all of them are answered.
// `expectations`: requests with an `Expect` field, sent for as long as the connection takes them, and answers are hardly read.
import { randomBytes } from 'node:crypto'
import net from 'node:net'

const [kind, host, port, connectionCount, queueHost] = process.argv.slice(2)

/** Requests of a batch: what one connection may have pending by the default of the settings. */
const BATCH_REQUESTS = 64

/** Requests of one write of the other kind. */
const AHEAD_REQUESTS = 3_000

/** Pause before a connection that was closed is opened again, and between two reads of a slow reader, in milliseconds. */
const REOPEN_MILLISECONDS = 500
const READ_INTERVAL_MILLISECONDS = 3_000

/** Interval at which the counts are printed, in milliseconds. */
const REPORT_INTERVAL_MILLISECONDS = 500

const counts = { opened: 0, requests: 0, answers: 0 }

function lookups () {
  const requests = Array.from({ length: BATCH_REQUESTS }, () => `GET /q/${randomBytes(8).toString('hex')} HTTP/1.1\r\nHost: ${queueHost}\r\nAuthorization: Bearer key-0\r\nDeadline-Ms: 3000\r\n\r\n`)
  return Buffer.from(requests.join(''))
}

const ahead = Buffer.from(`GET /q/ HTTP/1.1\r\nHost:${queueHost}\r\nExpect:x\r\n\r\n`.repeat(AHEAD_REQUESTS))

const manySteps = JSON.stringify({ steps: Array.from({ length: 1_000 }, () => ({})) })

function submissions () {
  const requests = Array.from({ length: BATCH_REQUESTS }, () => `POST /q/${randomBytes(8).toString('hex')} HTTP/1.1\r\nHost: ${queueHost}\r\nContent-Type: application/json\r\nContent-Length: ${manySteps.length}\r\nDeadline-Ms: 3000\r\n\r\n${manySteps}`)
  return Buffer.from(requests.join(''))
}

function sendBatches (socket, batch) {
  let pending = 0
  const send = () => {
    socket.write(batch())
    pending += BATCH_REQUESTS
    counts.requests += BATCH_REQUESTS
  }
  socket.on('connect', send)
  socket.on('data', bytes => {
    const answers = bytes.toString('latin1').split('HTTP/1.1 ').length - 1
    counts.answers += answers
    pending -= answers
    if (pending <= 0) send()
  })
}

function sendAhead (socket) {
  const send = () => {
    do counts.requests += AHEAD_REQUESTS
    while (!socket.destroyed && socket.write(ahead))
  }
  socket.pause()
  socket.on('connect', send)
  socket.on('drain', send)
  socket.on('data', bytes => {
    counts.answers += bytes.toString('latin1').split('HTTP/1.1 ').length - 1
    socket.pause()
  })
  const timer = setInterval(() => socket.resume(), READ_INTERVAL_MILLISECONDS)
  socket.on('close', () => clearInterval(timer))
}

function open () {
  const socket = net.connect(Number(port), host)
  counts.opened += 1
  socket.on('error', () => {})
  socket.on('close', () => setTimeout(open, REOPEN_MILLISECONDS))
  if (kind === 'lookups') sendBatches(socket, lookups)
  else if (kind === 'fields') sendBatches(socket, submissions)
  else sendAhead(socket)
}

for (let index = 0; index < Number(connectionCount); index++) open()
setInterval(() => process.stdout.write(`${JSON.stringify(counts)}\n`), REPORT_INTERVAL_MILLISECONDS)
// Nobody reads the counts any more.
process.stdout.on('error', () => process.exit())
