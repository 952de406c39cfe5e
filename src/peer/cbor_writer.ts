/**
 * Encoding of messages as CBOR (RFC 8949).
 *
 * Messages consist of maps with known keys, lists, strings, numbers, booleans and
 * bytes only. The keys are encoded once, strings are written by the runtime, and
 * everything goes into one buffer that is reused.
 */

import { Buffer } from "node:buffer";

/** Values that a message consists of; fields that are undefined are left out. */
type CborValue =
  | string
  | number
  | boolean
  | null
  | undefined
  | Uint8Array
  | readonly CborValue[]
  | { readonly [key: string]: CborValue };

const MAJOR_TYPES = {
  unsigned: 0x00,
  negative: 0x20,
  bytes: 0x40,
  text: 0x60,
  list: 0x80,
  map: 0xa0,
} as const;

const FALSE = 0xf4;
const TRUE = 0xf5;
const NULL = 0xf6;
const DOUBLE = 0xfb;

/** Largest argument in the first byte, and the codes of those that follow it in one, two and four bytes. */
const MAX_SHORT_ARGUMENT = 23;
const ONE_BYTE = 24;
const TWO_BYTES = 25;
const FOUR_BYTES = 26;

const MAX_UINT8 = 0xff;
const MAX_UINT16 = 0xffff;
const MAX_UINT32 = 0xffff_ffff;

/** Longest head of a value, in bytes. */
const MAX_HEAD_BYTES = 9;

/** Bytes that one UTF-16 unit takes at most in UTF-8. */
const MAX_UTF8_BYTES = 3;

const INITIAL_BYTES = 16_384;

/** Largest buffer that is kept, in bytes. */
const MAX_KEPT_BYTES = 131_072;

/** Maximum number of keys whose encoding is remembered. */
const MAX_KEYS = 256;

/** Encodes values into a buffer of its own. */
export class CborWriter {
  readonly #keys = new Map<string, Uint8Array>();
  #buffer = Buffer.allocUnsafeSlow(INITIAL_BYTES);
  #offset = 0;

  /**
   * Encodes a value behind `reservedBytes` bytes, which the caller fills in.
   * Returns a copy of all of them.
   */
  encode(value: unknown, reservedBytes: number): Buffer {
    this.#offset = reservedBytes;
    this.#write(value as CborValue);
    const encoded = Buffer.allocUnsafe(this.#offset);
    this.#buffer.copy(encoded, 0, 0, this.#offset);
    if (this.#buffer.length > MAX_KEPT_BYTES) {
      this.#buffer = Buffer.allocUnsafeSlow(INITIAL_BYTES);
    }
    return encoded;
  }

  #write(value: CborValue): void {
    switch (typeof value) {
      case "string":
        this.#writeText(value);
        return;
      case "number":
        this.#writeNumber(value);
        return;
      case "boolean":
        this.#writeByte(value ? TRUE : FALSE);
        return;
    }
    if (value === null || value === undefined) {
      this.#writeByte(NULL);
    } else if (value instanceof Uint8Array) {
      this.#writeHead(MAJOR_TYPES.bytes, value.length);
      this.#ensure(value.length);
      this.#buffer.set(value, this.#offset);
      this.#offset += value.length;
    } else if (Array.isArray(value)) {
      this.#writeHead(MAJOR_TYPES.list, value.length);
      for (const item of value as readonly CborValue[]) {
        this.#write(item);
      }
    } else {
      this.#writeMap(value as { readonly [key: string]: CborValue });
    }
  }

  #writeMap(map: { readonly [key: string]: CborValue }): void {
    let size = 0;
    for (const key in map) {
      size += map[key] === undefined ? 0 : 1;
    }
    this.#writeHead(MAJOR_TYPES.map, size);
    for (const key in map) {
      const value = map[key];
      if (value !== undefined) {
        this.#writeKey(key);
        this.#write(value);
      }
    }
  }

  #writeKey(key: string): void {
    const encoded = this.#keys.get(key);
    if (encoded) {
      this.#ensure(encoded.length);
      this.#buffer.set(encoded, this.#offset);
      this.#offset += encoded.length;
      return;
    }
    const start = this.#offset;
    this.#writeText(key);
    if (this.#keys.size < MAX_KEYS) {
      this.#keys.set(
        key,
        new Uint8Array(this.#buffer.subarray(start, this.#offset)),
      );
    }
  }

  #writeText(text: string): void {
    this.#ensure(text.length * MAX_UTF8_BYTES + MAX_HEAD_BYTES);
    if (text.length * MAX_UTF8_BYTES <= MAX_SHORT_ARGUMENT) {
      // The head is one byte, whatever the characters.
      const bytes = this.#buffer.write(text, this.#offset + 1, "utf8");
      this.#buffer[this.#offset] = MAJOR_TYPES.text | bytes;
      this.#offset += 1 + bytes;
      return;
    }
    this.#writeHead(MAJOR_TYPES.text, Buffer.byteLength(text));
    this.#offset += this.#buffer.write(text, this.#offset, "utf8");
  }

  #writeNumber(value: number): void {
    if (
      Number.isInteger(value) && Math.abs(value) <= MAX_UINT32 &&
      !Object.is(value, -0)
    ) {
      if (value >= 0) {
        this.#writeHead(MAJOR_TYPES.unsigned, value);
      } else {
        this.#writeHead(MAJOR_TYPES.negative, -1 - value);
      }
      return;
    }
    this.#writeByte(DOUBLE);
    this.#ensure(MAX_HEAD_BYTES);
    this.#offset = this.#buffer.writeDoubleBE(value, this.#offset);
  }

  #writeHead(majorType: number, argument: number): void {
    this.#ensure(MAX_HEAD_BYTES);
    const buffer = this.#buffer;
    if (argument <= MAX_SHORT_ARGUMENT) {
      buffer[this.#offset++] = majorType | argument;
    } else if (argument <= MAX_UINT8) {
      buffer[this.#offset++] = majorType | ONE_BYTE;
      buffer[this.#offset++] = argument;
    } else if (argument <= MAX_UINT16) {
      buffer[this.#offset++] = majorType | TWO_BYTES;
      buffer[this.#offset++] = argument >>> 8;
      buffer[this.#offset++] = argument;
    } else {
      buffer[this.#offset++] = majorType | FOUR_BYTES;
      this.#offset = buffer.writeUInt32BE(argument, this.#offset);
    }
  }

  #writeByte(byte: number): void {
    this.#ensure(1);
    this.#buffer[this.#offset++] = byte;
  }

  #ensure(bytes: number): void {
    const neededBytes = this.#offset + bytes;
    if (neededBytes > this.#buffer.length) {
      const grown = Buffer.allocUnsafeSlow(
        Math.max(neededBytes, 2 * this.#buffer.length),
      );
      this.#buffer.copy(grown, 0, 0, this.#offset);
      this.#buffer = grown;
    }
  }
}
