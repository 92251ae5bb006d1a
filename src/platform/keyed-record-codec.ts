/**
 * The binary encoding of records in a keyed topic.
 */
import type { KeyedRecord } from './keyed-record.js'

/** Size of the record length field in bytes. */
const LENGTH_BYTES = 4

/** Size of the key length field in bytes. */
const KEY_LENGTH_BYTES = 1

/** Layout of a record: length of the rest (4 bytes, big-endian), key length (1 byte), key (UTF-8), value. */
export class KeyedRecordCodec {
  static encode (records: readonly KeyedRecord[]): Buffer {
    return Buffer.concat(records.flatMap(({ key, value }) => {
      const keyBytes = Buffer.from(key, 'utf8')
      const header = Buffer.alloc(LENGTH_BYTES + KEY_LENGTH_BYTES)
      header.writeUInt32BE(KEY_LENGTH_BYTES + keyBytes.length + value.length, 0)
      header.writeUInt8(keyBytes.length, LENGTH_BYTES)
      return [header, keyBytes, value]
    }))
  }

  /** Decodes complete records. An incomplete record at the end is left for the next read. */
  static decode (bytes: Buffer): KeyedRecord[] {
    const records: KeyedRecord[] = []
    for (let position = 0; position + LENGTH_BYTES <= bytes.length;) {
      const start = position + LENGTH_BYTES
      const end = start + bytes.readUInt32BE(position)
      if (end > bytes.length) break
      records.push(KeyedRecordCodec._decodeRecord(bytes.subarray(start, end)))
      position = end
    }
    return records
  }

  /** Records of other writers may be empty or have a truncated key; without a key length the key is empty. */
  private static _decodeRecord (bytes: Buffer): KeyedRecord {
    const keyLength = bytes.length > 0 ? bytes.readUInt8(0) : 0
    const keyEnd = Math.min(bytes.length, KEY_LENGTH_BYTES + keyLength)
    return { key: bytes.subarray(KEY_LENGTH_BYTES, keyEnd).toString('utf8'), value: bytes.subarray(keyEnd) }
  }
}
