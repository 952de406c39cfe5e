/**
 * Questions of the questionnaire and how their answers are parsed.
 */

import type { LineInput } from "./line_input.ts";

/** A question, its default and the parser of its answer. */
export interface Question<T> {
  readonly text: string;
  /** Value that an empty line stands for; undefined if the question has no default. */
  readonly default: T | undefined;
  /** Placeholder value used when the input has ended. */
  readonly valueAtEndOfInput: T;
  /** Formats the default for the prompt. */
  readonly format: (value: T) => string;
  /** Returns the parsed value, or undefined if the text is invalid. */
  readonly parse: (text: string) => T | undefined;
  /** Printed after an invalid answer. */
  readonly hint: string;
}

/**
 * Asks a question until its answer is valid.
 *
 * @param input - Input to read answers from
 * @param question - The question
 * @returns The answer; undefined if the input has ended
 *
 * @example
 * const slots = await askValue(input, createNumberQuestion("Slots", 8, 1));
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
 * @param text - Text of the question
 * @param defaultValue - Value that an empty line stands for; undefined for no default
 * @param allowed - Allowed names; empty to allow any name
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
      ? "please enter a name"
      : `please enter one of ${allowed.join(", ")}`,
  };
}

/**
 * Creates a question for a comma-separated list of names.
 *
 * @param text - Text of the question
 * @param defaultValue - Value that an empty line stands for; undefined for no default
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
    text: `${text} (comma-separated, - for none)`,
    default: defaultValue,
    valueAtEndOfInput: [],
    format: (value) => value.join(", ") || "-",
    parse: (line) =>
      line === "-"
        ? []
        : line.split(",").map((name) => name.trim()).filter((name) =>
          name !== ""
        ),
    hint: "please enter names separated by commas",
  };
}

/**
 * Creates a question for a number.
 *
 * @param text - Text of the question
 * @param defaultValue - Value that an empty line stands for; undefined for no default
 * @param minimum - Smallest number accepted
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
    hint: `please enter a number of at least ${minimum}`,
  };
}

/**
 * Creates a yes/no question.
 *
 * @param text - Text of the question
 * @param defaultValue - Value that an empty line stands for; undefined for no default
 * @returns The question
 *
 * @example
 * createYesNoQuestion("May it be executed twice", undefined);
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
