/**
 * Computes the digests of configurations.
 *
 * Documents are immutable and share their unchanged entries, so the digest of
 * each entry is computed once and cached.
 */

import { createHash } from "node:crypto";
import type { Configuration } from "../generated/types.ts";
import { canonicalizeNamedLists } from "./canonicalize_named_lists.ts";

const entryDigests = new WeakMap<object, string>();

/**
 * Computes a digest that does not depend on the order of keys, services, requests or accounts.
 *
 * @param configuration - The configuration
 * @returns The SHA-256 digest in hexadecimal
 *
 * @example
 * digestConfiguration(applied) === change.digest;
 */
export function digestConfiguration(configuration: Configuration): string {
  const { accounts, requests, services, ...others } = canonicalizeNamedLists(
    configuration,
  );
  return digestText(JSON.stringify([
    digestValue(others),
    services.map(digestEntry),
    requests.map(digestEntry),
    // Without accounts, the digest is that of a version without this field.
    ...accounts ? [accounts.map(digestEntry)] : [],
  ]));
}

function digestEntry(entry: object): string {
  const known = entryDigests.get(entry);
  if (known !== undefined) {
    return known;
  }
  const digest = digestValue(entry);
  entryDigests.set(entry, digest);
  return digest;
}

function digestValue(value: unknown): string {
  return digestText(JSON.stringify(value, sortKeys));
}

function digestText(text: string): string {
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
