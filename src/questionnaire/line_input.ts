/**
 * Line-by-line input from a terminal or a pipe, with prompts.
 */

import { createInterface } from "node:readline/promises";
import type { Interface } from "node:readline/promises";

/** Reads lines in order. Lines that arrive before they are requested are buffered. */
export class LineInput {
  readonly #interface: Interface;
  readonly #output: NodeJS.WritableStream;
  readonly #lines: AsyncIterator<string>;

  constructor(input: NodeJS.ReadableStream, output: NodeJS.WritableStream) {
    this.#interface = createInterface({ input, terminal: false });
    this.#output = output;
    this.#lines = this.#interface[Symbol.asyncIterator]();
  }

  /** Prints a prompt and returns the next line, trimmed; undefined at the end of the input. */
  async readLine(prompt: string): Promise<string | undefined> {
    this.#output.write(prompt);
    const line = await this.#lines.next();
    return line.done ? undefined : line.value.trim();
  }

  /** Prints a line. */
  writeLine(text: string): void {
    this.#output.write(`${text}\n`);
  }

  /** Closes the input. */
  close(): void {
    this.#interface.close();
  }
}
