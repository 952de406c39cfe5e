/**
 * Parsing of the limits that backend servers name in their responses.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";

/** Decimal number without sign or exponent; the lengths exclude texts that no server would send. */
const DECIMAL = /^\d{1,12}(\.\d{1,12})?$/;

/** Characters of an invalid text that an error repeats. */
const MAX_QUOTED_LENGTH = 64;

/**
 * Parses the values of a limit header. Several values, in one field or in more,
 * count as the lowest of them.
 *
 * @param values - The field's values, in the order of the response
 * @returns Requests a second, or a `RateLimitInvalid` error that quotes the values
 *
 * @example
 * parseRateLimit(["6.9"]); // ok(6.9)
 */
export function parseRateLimit(
  values: readonly string[],
): Result<number, VError> {
  const parts = values.flatMap((value) => value.split(","))
    .map((part) => part.trim());
  return parts.length > 0 && parts.every((part) => DECIMAL.test(part))
    ? ok(Math.min(...parts.map(Number)))
    : err(
      new VError(
        { name: "RateLimitInvalid" },
        "no decimal number of requests a second: %s",
        JSON.stringify(values.join(", ").slice(0, MAX_QUOTED_LENGTH)),
      ),
    );
}
