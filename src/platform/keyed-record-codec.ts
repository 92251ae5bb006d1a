/**
 * The binary form of records in a keyed topic.
 */
import type { KeyedRecord } from './keyed-record.js'

/** Bytes of a record's length. */
const LENGTH_BYTES = 4

/** Bytes of a key's length. */
const KEY_LENGTH_BYTES = 1

/** Encodes and decodes: length (4 bytes, big-endian), key length (1 byte), key, value. */
export class KeyedRecordCodec {
  static encode (records: readonly KeyedRecord[]): Buffer {
    return Buffer.concat(records.flatMap(({ key, value }) => {
      const keyBytes = Buffer.from(key, 'utf8')
      const head = Buffer.alloc(LENGTH_BYTES + KEY_LENGTH_BYTES)
      head.writeUInt32BE(KEY_LENGTH_BYTES + keyBytes.length + value.length, 0)
      head.writeUInt8(keyBytes.length, LENGTH_BYTES)
      return [head, keyBytes, value]
    }))
  }

  /** A record that ends beyond the bytes is left for the next read. */
  static decode (bytes: Buffer): KeyedRecord[] {
    const records: KeyedRecord[] = []
    for (let at = 0; at + LENGTH_BYTES <= bytes.length;) {
      const start = at + LENGTH_BYTES
      const end = start + bytes.readUInt32BE(at)
      if (end > bytes.length) break
      records.push(KeyedRecordCodec._decodeOne(bytes.subarray(start, end)))
      at = end
    }
    return records
  }

  /** Other writers may leave bytes without a key; they get an empty one. */
  private static _decodeOne (bytes: Buffer): KeyedRecord {
    const keyLength = bytes.length > 0 ? bytes.readUInt8(0) : 0
    const keyEnd = Math.min(bytes.length, KEY_LENGTH_BYTES + keyLength)
    return { key: bytes.subarray(KEY_LENGTH_BYTES, keyEnd).toString('utf8'), value: Buffer.from(bytes.subarray(keyEnd)) }
  }
}
