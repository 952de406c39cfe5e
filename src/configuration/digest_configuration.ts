/**
 * Digests of configurations.
 */

import { createHash } from "node:crypto";
import type { Configuration } from "../generated/types.ts";
import { canonicalizeNamedLists } from "./canonicalize_named_lists.ts";

/**
 * Gives a digest that equal configurations share, whatever their key order.
 *
 * @param configuration - The configuration
 * @returns SHA-256 in hexadecimal
 *
 * @example
 * digestConfiguration(applied) === change.digest;
 */
export function digestConfiguration(configuration: Configuration): string {
  const text = JSON.stringify(
    canonicalizeNamedLists(configuration),
    sortKeys,
  );
  return createHash("sha256").update(text).digest("hex");
}

function sortKeys(_key: string, value: unknown): unknown {
  if (value === null || typeof value !== "object" || Array.isArray(value)) {
    return value;
  }
  const entries = value as Record<string, unknown>;
  return Object.fromEntries(
    Object.keys(entries).sort().map((key) => [key, entries[key]]),
  );
}
