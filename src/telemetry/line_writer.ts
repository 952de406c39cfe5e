/**
 * Output of log lines that never waits for the reader.
 *
 * Lines are collected and written together, one write at a time. What does not
 * fit while a write is in progress is dropped and counted.
 */

import { write } from "node:fs";

/** Time for which lines are collected, in milliseconds. */
const BATCH_DELAY_MS = 50;

/** Pause before a write that would have blocked is tried again, in milliseconds. */
const BLOCKED_RETRY_MS = 20;

/** Characters that wait to be written at the most. */
const MAX_BUFFERED_LENGTH = 262_144;

const STDOUT_FD = 1;

/** Codes of errors after which the same write may succeed later. */
const WOULD_BLOCK_CODE = "EAGAIN";

/** Writes text and tells the number of bytes written, or the error. */
export type WriteBytes = (
  bytes: Uint8Array,
  done: (error: NodeJS.ErrnoException | null, writtenBytes: number) => void,
) => void;

/** Collects and writes lines. */
export class LineWriter {
  readonly #write: WriteBytes;
  #lines: string[] = [];
  #bufferedLength = 0;
  #droppedLines = 0;
  #isFlushPending = false;

  constructor(writeBytes: WriteBytes = writeToStandardOutput) {
    this.#write = writeBytes;
  }

  /** Lines that were dropped since the last one was written. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  /** Takes a line without its end. */
  add(line: string): void {
    if (this.#bufferedLength + line.length > MAX_BUFFERED_LENGTH) {
      this.#droppedLines += 1;
      return;
    }
    this.#lines.push(line);
    this.#bufferedLength += line.length;
    if (!this.#isFlushPending) {
      this.#isFlushPending = true;
      setTimeout(() => this.#flush(), BATCH_DELAY_MS).unref();
    }
  }

  /** Writes what waits, without collecting further lines. */
  async flush(): Promise<void> {
    await new Promise<void>((resolve) => this.#flush(resolve));
  }

  #flush(done: () => void = () => undefined): void {
    if (this.#lines.length === 0) {
      this.#isFlushPending = false;
      done();
      return;
    }
    if (this.#droppedLines > 0) {
      const dropped = { event: "log-lines-dropped", count: this.#droppedLines };
      this.#lines.push(JSON.stringify(dropped));
      this.#droppedLines = 0;
    }
    const bytes = new TextEncoder().encode(`${this.#lines.join("\n")}\n`);
    this.#lines = [];
    this.#bufferedLength = 0;
    this.#writeAll(bytes, () => this.#flush(done));
  }

  #writeAll(bytes: Uint8Array, done: () => void): void {
    this.#write(bytes, (error, writtenBytes) => {
      const rest = error ? bytes : bytes.subarray(writtenBytes);
      if (error?.code === WOULD_BLOCK_CODE) {
        setTimeout(() => this.#writeAll(rest, done), BLOCKED_RETRY_MS).unref();
      } else if (error || rest.length === 0) {
        done(); // Without a reader there is nobody to tell of the error.
      } else {
        this.#writeAll(rest, done);
      }
    });
  }
}

function writeToStandardOutput(
  bytes: Uint8Array,
  done: (error: NodeJS.ErrnoException | null, writtenBytes: number) => void,
): void {
  write(
    STDOUT_FD,
    bytes,
    (error, writtenBytes) => done(error, writtenBytes),
  );
}
