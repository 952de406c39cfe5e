/**
 * Lines typed by an operator or read from a pipe.
 */

import { createInterface } from "node:readline/promises";
import type { Interface } from "node:readline/promises";

/** Gives one line after the other. Lines that arrive before they are asked for are kept. */
export class LineInput {
  readonly #interface: Interface;
  readonly #output: NodeJS.WritableStream;
  readonly #lines: AsyncIterator<string>;

  constructor(input: NodeJS.ReadableStream, output: NodeJS.WritableStream) {
    this.#interface = createInterface({ input, terminal: false });
    this.#output = output;
    this.#lines = this.#interface[Symbol.asyncIterator]();
  }

  /** Shows a prompt and gives the answer; undefined at the end of the input. */
  async readLine(prompt: string): Promise<string | undefined> {
    this.#output.write(prompt);
    const line = await this.#lines.next();
    return line.done ? undefined : line.value.trim();
  }

  /** Shows a remark. */
  writeLine(text: string): void {
    this.#output.write(`${text}\n`);
  }

  /** Stops reading. */
  close(): void {
    this.#interface.close();
  }
}
