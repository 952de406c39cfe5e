/**
 * Incremental parser of the HTTP/1.1 responses on one connection.
 *
 * It accepts what RFC 9112 lets a server send, except for folded header lines and
 * transfer codings other than `chunked`. Everything else is malformed, so that
 * what a response does not state clearly counts as an unknown outcome.
 */

import { Buffer } from "node:buffer";

/** Maximum size of the head of a response, and of a chunk's size line or the trailer, in bytes. */
const MAX_HEAD_BYTES = 16_384;

/** With a status of a class that HTTP defines (RFC 9110, section 15). */
const STATUS_LINE =
  /^HTTP\/1\.([01]) ([1-5]\d\d)(?: [\t\x20-\x7e\x80-\xff]*)?$/;
const HEADER_LINE =
  /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*((?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?)[ \t]*$/;
const LENGTH = /^\d{1,15}$/;
const CHUNK_SIZE = /^([0-9A-Fa-f]{1,8})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?$/;
const CLOSE_OPTION = /(?:^|,)\s*close\s*(?:,|$)/i;
const KEEP_ALIVE_OPTION = /(?:^|,)\s*keep-alive\s*(?:,|$)/i;
const KEEP_ALIVE_TIMEOUT = /(?:^|[,;\s])timeout=(\d{1,6})/i;

/** Maximum number of informational responses before the final one; a server sends a few at most. */
const MAX_INFORMATIONAL = 32;

const FIRST_FINAL_STATUS = 200;
const SWITCHING_PROTOCOLS = 101;

/** Statuses of responses that have no body. */
export const EMPTY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

const CRLF = "\r\n";
const CR = 0x0d;
const LF = 0x0a;
const HEAD_END = "\r\n\r\n";
const MS_PER_SECOND = 1_000;
const HEX = 16;
const HEX_DIGITS = Buffer.from("0123456789abcdef");
const MAX_SIZE_DIGITS = 8;

/** Head of a response, with what it says about its framing. */
export interface ParsedHead {
  readonly status: number;
  /** Header fields, as alternating lower-case names and values. */
  readonly headers: readonly string[];
  /** Stated length of the body; undefined if none is stated. */
  readonly statedBytes: number | undefined;
  /** Whether the end of the body can be told without the end of the connection. */
  readonly isDelimited: boolean;
  /** Whether the connection can serve another request afterwards. */
  readonly isPersistent: boolean;
  /** Idle timeout of the server, in milliseconds, if it states one. */
  readonly idleTimeoutMs: number | undefined;
}

/** Receives the parts of a response. */
export interface ResponseHandler {
  /** A head, which may be informational. */
  onHead(head: ParsedHead): void;
  /** A part of the body; a view of the parsed bytes that is valid during the call only. */
  onBody(part: Buffer): void;
  onEnd(): void;
}

type State = "head" | "body" | "chunk-size" | "chunk-end" | "trailer" | "done";

/** Parses one response. */
export class ResponseParser {
  readonly #handler: ResponseHandler;
  readonly #isHead: boolean;
  #state: State = "head";
  #pending: Buffer | undefined;
  /** Bytes left of the body or the chunk; infinite if the end of the connection delimits the body. */
  #leftBytes = 0;
  #isChunked = false;
  #informationalCount = 0;
  /** Number of bytes of the trailer lines so far. */
  #trailerBytes = 0;

  constructor(handler: ResponseHandler, { method }: { method: string }) {
    this.#handler = handler;
    this.#isHead = method === "HEAD";
  }

  /** Whether the response is complete. */
  get isDone(): boolean {
    return this.#state === "done";
  }

  /** Parses bytes; returns false if they are malformed, or go on after the end of the response. */
  push(bytes: Buffer): boolean {
    let rest = this.#pending ? Buffer.concat([this.#pending, bytes]) : bytes;
    this.#pending = undefined;
    while (rest.length > 0) {
      const usedBytes = this.#step(rest);
      if (usedBytes < 0) {
        return false;
      }
      if (usedBytes === 0) {
        // A copy, since the bytes may be overwritten after the call.
        this.#pending = Buffer.from(rest);
        return rest.length <= MAX_HEAD_BYTES;
      }
      rest = rest.subarray(usedBytes);
    }
    return true;
  }

  /** The server has ended the connection; returns whether that completes the response. */
  finish(): boolean {
    if (this.#state !== "body" || this.#leftBytes !== Infinity) {
      return false;
    }
    this.#end();
    return true;
  }

  /** Parses the beginning of the bytes. Returns the number of bytes used, 0 if more are needed, -1 if they are malformed. */
  #step(bytes: Buffer): number {
    switch (this.#state) {
      case "head":
        return this.#readHead(bytes);
      case "body":
        return this.#readBody(bytes);
      case "chunk-size":
        return this.#readChunkSize(bytes);
      case "chunk-end":
        return this.#readChunkEnd(bytes);
      case "trailer":
        return this.#readTrailer(bytes);
      case "done":
        return -1;
    }
  }

  #readHead(bytes: Buffer): number {
    const endIndex = bytes.indexOf(HEAD_END, 0, "latin1");
    if (endIndex < 0) {
      return 0;
    }
    if (endIndex > MAX_HEAD_BYTES) {
      return -1;
    }
    const head = parseHead(bytes.toString("latin1", 0, endIndex));
    if (!head) {
      return -1;
    }
    if (head.status < FIRST_FINAL_STATUS) {
      this.#informationalCount += 1;
      if (this.#informationalCount > MAX_INFORMATIONAL) {
        return -1;
      }
    }
    this.#handler.onHead(head);
    if (head.status >= FIRST_FINAL_STATUS) {
      this.#startBody(head);
    }
    return endIndex + HEAD_END.length;
  }

  #startBody({ status, statedBytes, isDelimited }: ParsedHead): void {
    if (this.#isHead || EMPTY_STATUSES.has(status) || statedBytes === 0) {
      this.#end();
    } else if (statedBytes === undefined && isDelimited) {
      this.#isChunked = true;
      this.#state = "chunk-size";
    } else {
      this.#leftBytes = statedBytes ?? Infinity;
      this.#state = "body";
    }
  }

  #readBody(bytes: Buffer): number {
    const usedBytes = Math.min(bytes.length, this.#leftBytes);
    this.#handler.onBody(bytes.subarray(0, usedBytes));
    this.#leftBytes -= usedBytes;
    if (this.#leftBytes === 0) {
      if (this.#isChunked) {
        this.#state = "chunk-end";
      } else {
        this.#end();
      }
    }
    return usedBytes;
  }

  #readChunkSize(bytes: Buffer): number {
    const plain = readPlainChunkSize(bytes);
    if (plain) {
      this.#startChunk(plain.sizeBytes);
      return plain.lineBytes;
    }
    const endIndex = bytes.indexOf(CRLF, 0, "latin1");
    if (endIndex < 0) {
      return 0;
    }
    const size = CHUNK_SIZE.exec(bytes.toString("latin1", 0, endIndex))?.[1];
    if (size === undefined) {
      return -1;
    }
    this.#startChunk(parseInt(size, HEX));
    return endIndex + CRLF.length;
  }

  #startChunk(sizeBytes: number): void {
    this.#leftBytes = sizeBytes;
    this.#state = sizeBytes === 0 ? "trailer" : "body";
  }

  #readChunkEnd(bytes: Buffer): number {
    if (bytes.length < CRLF.length) {
      return 0;
    }
    this.#state = "chunk-size";
    return bytes[0] === CR && bytes[1] === LF ? CRLF.length : -1;
  }

  /** Checks the lines after the last chunk, and skips them: they are fields, as in the head. */
  #readTrailer(bytes: Buffer): number {
    const endIndex = bytes.indexOf(CRLF, 0, "latin1");
    if (endIndex < 0) {
      return 0;
    }
    const usedBytes = endIndex + CRLF.length;
    this.#trailerBytes += usedBytes;
    if (endIndex === 0) {
      this.#end();
    } else if (
      this.#trailerBytes > MAX_HEAD_BYTES ||
      !HEADER_LINE.test(bytes.toString("latin1", 0, endIndex))
    ) {
      return -1;
    }
    return usedBytes;
  }

  #end(): void {
    this.#state = "done";
    this.#handler.onEnd();
  }
}

/** Reads a size line of digits only, without the cost of a pattern; undefined for any other or incomplete line. */
function readPlainChunkSize(
  bytes: Buffer,
): { sizeBytes: number; lineBytes: number } | undefined {
  let sizeBytes = 0;
  for (let index = 0; index <= MAX_SIZE_DIGITS; index += 1) {
    const byte = bytes[index] ?? CR;
    const digit = HEX_DIGITS.indexOf(byte);
    if (digit < 0) {
      return index > 0 && byte === CR && bytes[index + 1] === LF
        ? { sizeBytes, lineBytes: index + CRLF.length }
        : undefined;
    }
    sizeBytes = sizeBytes * HEX + digit;
  }
  return undefined;
}

function parseHead(text: string): ParsedHead | undefined {
  const [statusLine = "", ...lines] = text.split(CRLF);
  const [, minorVersion, statusText] = STATUS_LINE.exec(statusLine) ?? [];
  const status = Number(statusText);
  if (statusText === undefined || status === SWITCHING_PROTOCOLS) {
    return undefined;
  }
  const headers: string[] = [];
  let length: string | undefined;
  let coding: string | undefined;
  let connection = "";
  let idleTimeoutMs: number | undefined;
  for (const line of lines) {
    const field = HEADER_LINE.exec(line);
    if (!field) {
      return undefined;
    }
    const name = field[1]?.toLowerCase() ?? "";
    const value = field[2] ?? "";
    headers.push(name, value);
    switch (name) {
      case "content-length":
        if (length !== undefined || !LENGTH.test(value)) {
          return undefined;
        }
        length = value;
        break;
      case "transfer-encoding":
        if (coding !== undefined || value.toLowerCase() !== "chunked") {
          return undefined;
        }
        coding = value;
        break;
      case "connection":
        connection = connection === "" ? value : `${connection},${value}`;
        break;
      case "keep-alive": {
        const seconds = KEEP_ALIVE_TIMEOUT.exec(value)?.[1];
        idleTimeoutMs = seconds === undefined
          ? idleTimeoutMs
          : Number(seconds) * MS_PER_SECOND;
        break;
      }
    }
  }
  const isChunked = coding !== undefined;
  // A sender of HTTP/1.0 may have passed chunks on without knowing them (RFC 9112, section 6.1).
  if (isChunked && (length !== undefined || minorVersion === "0")) {
    return undefined;
  }
  return {
    status,
    headers,
    statedBytes: length === undefined ? undefined : Number(length),
    isDelimited: length !== undefined || isChunked ||
      EMPTY_STATUSES.has(status),
    isPersistent: minorVersion === "1"
      ? !CLOSE_OPTION.test(connection)
      : KEEP_ALIVE_OPTION.test(connection),
    idleTimeoutMs,
  };
}
