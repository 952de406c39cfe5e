/**
 * Single questions of the questionnaire.
 */

import type { LineInput } from "./line_input.ts";

/** A question with how its answer is read. */
export interface Question<T> {
  readonly text: string;
  /** What an empty answer means. */
  readonly default: T | undefined;
  /** Stands for the answer when the input has ended. */
  readonly valueAtEndOfInput: T;
  readonly format: (value: T) => string;
  /** Gives the value, or undefined where the text is none. */
  readonly parse: (text: string) => T | undefined;
  /** Shown after an answer that cannot be read. */
  readonly hint: string;
}

/**
 * Asks until an answer can be read.
 *
 * @param input - Where answers come from
 * @param question - The question
 * @returns The answer; undefined where the input has ended
 *
 * @example
 * const slots = await askValue(input, createIntegerQuestion("Slots", 8));
 */
export async function askValue<T>(
  input: LineInput,
  question: Question<T>,
): Promise<T | undefined> {
  const { default: defaultValue, format, hint, parse, text } = question;
  const shown = defaultValue === undefined ? "" : ` [${format(defaultValue)}]`;
  for (;;) {
    const line = await input.readLine(`${text}${shown}: `);
    if (line === undefined) {
      return undefined;
    }
    const value = line === "" ? defaultValue : parse(line);
    if (value !== undefined) {
      return value;
    }
    input.writeLine(hint);
  }
}

/**
 * Creates a question for a name.
 *
 * @param text - The question
 * @param defaultValue - What an empty answer means
 * @param allowed - Names that may be given; empty: any
 * @returns The question
 *
 * @example
 * createNameQuestion("Method", "GET", ["GET", "POST"]);
 */
export function createNameQuestion(
  text: string,
  defaultValue: string | undefined,
  allowed: readonly string[] = [],
): Question<string> {
  return {
    text,
    default: defaultValue,
    valueAtEndOfInput: "",
    format: (value) => value,
    parse: (line) =>
      allowed.length === 0 || allowed.includes(line) ? line : undefined,
    hint: allowed.length === 0
      ? "please give a name"
      : `please give one of ${allowed.join(", ")}`,
  };
}

/**
 * Creates a question for a list of names.
 *
 * @param text - The question
 * @param defaultValue - What an empty answer means
 * @returns The question
 *
 * @example
 * createListQuestion("Regions", ["mtl", "qc"]);
 */
export function createListQuestion(
  text: string,
  defaultValue: readonly string[] | undefined,
): Question<readonly string[]> {
  return {
    text: `${text} (comma separated, - for none)`,
    default: defaultValue,
    valueAtEndOfInput: [],
    format: (value) => value.join(", ") || "-",
    parse: (line) =>
      line === "-"
        ? []
        : line.split(",").map((name) => name.trim()).filter((name) =>
          name !== ""
        ),
    hint: "please give names separated by commas",
  };
}

/**
 * Creates a question for a positive number.
 *
 * @param text - The question
 * @param defaultValue - What an empty answer means
 * @param minimum - Smallest number that is accepted
 * @returns The question
 *
 * @example
 * createNumberQuestion("Deadline in milliseconds", 2000, 1);
 */
export function createNumberQuestion(
  text: string,
  defaultValue: number | undefined,
  minimum: number,
): Question<number> {
  return {
    text,
    default: defaultValue,
    valueAtEndOfInput: minimum,
    format: String,
    parse: (line) => {
      const value = Number(line);
      return Number.isFinite(value) && value >= minimum ? value : undefined;
    },
    hint: `please give a number of at least ${minimum}`,
  };
}

/**
 * Creates a question that is answered by yes or no.
 *
 * @param text - The question
 * @param defaultValue - What an empty answer means
 * @returns The question
 *
 * @example
 * createYesNoQuestion("May it run twice", undefined);
 */
export function createYesNoQuestion(
  text: string,
  defaultValue: boolean | undefined,
): Question<boolean> {
  const words: Readonly<Record<string, boolean>> = {
    yes: true,
    y: true,
    no: false,
    n: false,
  };
  return {
    text: `${text} (yes/no)`,
    default: defaultValue,
    valueAtEndOfInput: false,
    format: (value) => value ? "yes" : "no",
    parse: (line) => words[line.toLowerCase()],
    hint: "please answer yes or no",
  };
}
