/**
 * Reading of a backend server's statement from the header fields of a response.
 */

import { parseRateLimit } from "./parse_rate_limit.ts";
import { parseStatedLoad } from "./parse_stated_load.ts";
import { NO_STATEMENT } from "./server_statement.ts";
import type { ServerStatement, StatedLoad } from "./server_statement.ts";

/** Names of the header fields, in lower case. */
export interface StatementHeaders {
  readonly rateLimit: string;
  readonly leaving: string;
  /** Name of the field that states the load; absent if servers state none. */
  readonly load?: string;
}

/** Value with which a server says that it leaves. */
const LEAVING_VALUE = "1";

/**
 * Reads the statement of a response.
 *
 * @param headers - Header fields of the response, as alternating names and values
 * @param names - Names of the fields that carry the statement
 * @returns The statement
 *
 * @example
 * readServerStatement(response.headers, { rateLimit: "server-limit", leaving: "server-leaving" });
 */
export function readServerStatement(
  headers: readonly string[],
  names: StatementHeaders,
): ServerStatement {
  const limits: string[] = [];
  const leaving: string[] = [];
  let load: StatedLoad | undefined;
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? "";
    const value = headers[index + 1] ?? "";
    if (isNamed(name, names.rateLimit)) {
      limits.push(value);
    } else if (isNamed(name, names.leaving)) {
      leaving.push(value);
    } else if (names.load !== undefined && isNamed(name, names.load)) {
      load = parseStatedLoad(value);
    }
  }
  if (limits.length === 0 && leaving.length === 0) {
    return load ? { ...NO_STATEMENT, load } : NO_STATEMENT;
  }
  const limit = limits.length > 0 ? parseRateLimit(limits) : undefined;
  return {
    requestsPerSecond: limit?.isOk() ? limit.value : undefined,
    invalidLimit: limit?.isErr() ? limit.error.message : undefined,
    isLeaving: leaving.flatMap((value) => value.split(","))
      .some((value) => value.trim() === LEAVING_VALUE),
    ...load && { load },
  };
}

/** Compares lengths first, since this is done for each header field of each answer. */
function isNamed(name: string, expected: string): boolean {
  return name.length === expected.length && name.toLowerCase() === expected;
}
