/**
 * Non-blocking output of log lines.
 *
 * Lines are buffered and written in batches, one write at a time. Lines that
 * exceed the buffer while a write is in progress are dropped and counted.
 */

import { write } from "node:fs";

/** Delay before buffered lines are written, in milliseconds. */
const BATCH_DELAY_MS = 50;

/** Delay before a write that would have blocked is retried, in milliseconds. */
const BLOCKED_RETRY_MS = 20;

/** Maximum number of buffered characters. */
const MAX_BUFFERED_LENGTH = 262_144;

const STDOUT_FD = 1;

/** Maximum wait for a flush, in milliseconds; a reader that takes nothing would delay the exit of the process for ever. */
const FLUSH_TIMEOUT_MS = 300;

/** Error code of a write that would have blocked and may succeed later. */
const WOULD_BLOCK_CODE = "EAGAIN";

/** Writes bytes and reports the number of bytes written, or the error. */
export type WriteBytes = (
  bytes: Uint8Array,
  done: (error: NodeJS.ErrnoException | null, writtenBytes: number) => void,
) => void;

/** Buffers lines and writes them in batches. */
export class LineWriter {
  readonly #write: WriteBytes;
  #lines: string[] = [];
  #bufferedLength = 0;
  #droppedLines = 0;
  #isFlushPending = false;
  #isWriting = false;
  readonly #flushWaiters: (() => void)[] = [];

  constructor(writeBytes: WriteBytes = writeToStandardOutput) {
    this.#write = writeBytes;
  }

  /** Number of lines dropped since the last batch was written. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  /** Buffers a line, given without its line terminator, or drops it if the buffer is full. */
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

  /**
   * Writes all buffered lines without waiting for the batch delay, after the batch
   * in progress. Gives up if the reader takes nothing for a while. Keeps the
   * process alive while it waits.
   */
  async flush(): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, FLUSH_TIMEOUT_MS);
      this.#flushWaiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
      this.#flush();
    });
  }

  #flush(): void {
    if (this.#isWriting) {
      return;
    }
    if (this.#lines.length === 0) {
      this.#isFlushPending = false;
      this.#flushWaiters.splice(0).forEach((resolve) => resolve());
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
    this.#isWriting = true;
    this.#writeAll(bytes, () => {
      this.#isWriting = false;
      this.#flush();
    });
  }

  #writeAll(bytes: Uint8Array, done: () => void): void {
    this.#write(bytes, (error, writtenBytes) => {
      const rest = error ? bytes : bytes.subarray(writtenBytes);
      if (error?.code === WOULD_BLOCK_CODE) {
        setTimeout(() => this.#writeAll(rest, done), BLOCKED_RETRY_MS).unref();
      } else if (error || rest.length === 0) {
        done(); // Other errors, such as a closed pipe, cannot be reported anywhere.
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
