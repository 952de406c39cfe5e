/**
 * Answers that tell of a failure of the backend server.
 */

import type { CallResult } from "../outcome/mod.ts";

const SERVER_ERROR_STATUS = 500;

/**
 * Tells whether a backend server answered with a server error.
 *
 * @param result - The outcome of a call
 * @returns Whether it is a whole answer with a 5xx status
 *
 * @example
 * const isFailed = result.isErr() || isErrorAnswer(result);
 */
export function isErrorAnswer(result: CallResult): boolean {
  return result.isOk() && result.value.status >= SERVER_ERROR_STATUS;
}
