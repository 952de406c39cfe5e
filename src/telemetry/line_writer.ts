/**
 * Output of log lines that never waits for the reader.
 *
 * Lines are collected and written together, one write at a time. What does not
 * fit while a write is in progress is dropped and counted.
 */

import { write } from "node:fs";

/** Time for which lines are collected, in milliseconds. */
const COLLECT_MS = 50;

/** Pause before a write that would have blocked is tried again, in milliseconds. */
const BLOCKED_RETRY_MS = 20;

/** Characters that wait to be written at the most. */
const MAX_WAITING_LENGTH = 262_144;

const STANDARD_OUTPUT = 1;

/** Codes of errors after which the same write may succeed later. */
const BLOCKED_CODE = "EAGAIN";

/** Writes text and tells the number of bytes written, or the error. */
export type WriteBytes = (
  bytes: Uint8Array,
  done: (error: NodeJS.ErrnoException | null, writtenBytes: number) => void,
) => void;

/** Collects and writes lines. */
export class LineWriter {
  readonly #write: WriteBytes;
  #lines: string[] = [];
  #waitingLength = 0;
  #droppedLines = 0;
  #isBusy = false;

  constructor(writeBytes: WriteBytes = writeToStandardOutput) {
    this.#write = writeBytes;
  }

  /** Lines that were dropped since the last one was written. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  /** Takes a line without its end. */
  add(line: string): void {
    if (this.#waitingLength + line.length > MAX_WAITING_LENGTH) {
      this.#droppedLines += 1;
      return;
    }
    this.#lines.push(line);
    this.#waitingLength += line.length;
    if (!this.#isBusy) {
      this.#isBusy = true;
      setTimeout(() => this.#flush(), COLLECT_MS).unref();
    }
  }

  /** Writes what waits, without collecting further lines. */
  async finish(): Promise<void> {
    await new Promise<void>((resolve) => this.#flush(resolve));
  }

  #flush(done: () => void = () => undefined): void {
    if (this.#lines.length === 0) {
      this.#isBusy = false;
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
    this.#waitingLength = 0;
    this.#writeAll(bytes, () => this.#flush(done));
  }

  #writeAll(bytes: Uint8Array, done: () => void): void {
    this.#write(bytes, (error, writtenBytes) => {
      const rest = error ? bytes : bytes.subarray(writtenBytes);
      if (error?.code === BLOCKED_CODE) {
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
    STANDARD_OUTPUT,
    bytes,
    (error, writtenBytes) => done(error, writtenBytes),
  );
}
