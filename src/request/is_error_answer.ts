/**
 * Detects answers with a server error.
 */

import type { CallResult } from "../outcome/mod.ts";

const SERVER_ERROR_STATUS = 500;

/**
 * Checks whether a backend server answered with a server error.
 *
 * @param result - The outcome of a call
 * @returns Whether it is an answer with a status of 500 or above (5xx)
 *
 * @example
 * const isFailed = result.isErr() || isErrorAnswer(result);
 */
export function isErrorAnswer(result: CallResult): boolean {
  return result.isOk() && result.value.status >= SERVER_ERROR_STATUS;
}
