/**
 * Stores base objects.
 *
 * A base holds the full state at an accepted version, so concurrent writers store
 * the same content. Its slot in the ring is written conditionally, so a writer
 * that was paused cannot overwrite a later base.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import type { ConfigurationHead } from "../generated/types.ts";
import type { ObjectStore } from "../store/mod.ts";
import { compressState } from "./compress_state.ts";
import {
  BASE_INTERVAL_CHANGES,
  formatBaseKey,
} from "./configuration_objects.ts";
import type { ConfigurationReader } from "./configuration_reader.ts";
import type { AcceptedState } from "./create_head.ts";

/** The base that a head refers to. */
export type BaseReference = Pick<
  ConfigurationHead,
  "baseNumber" | "baseVersion"
>;

/** Dependencies for storing a base. */
export interface EnsureBaseOptions {
  readonly store: ObjectStore;
  readonly reader: ConfigurationReader;
}

const WRITE_ATTEMPTS = 3;

/**
 * Stores a new base if the next head needs one.
 *
 * @param accepted - The accepted state
 * @param options - The store to write to and its reader
 * @returns The base that the next head must refer to, `ConfigurationConflict` if a
 *   later base is stored, or `StoreUnavailable`
 *
 * @example
 * const base = await ensureBase(accepted, { store, reader });
 */
export async function ensureBase(
  accepted: AcceptedState,
  options: EnsureBaseOptions,
): Promise<Result<BaseReference, VError>> {
  const { head } = accepted;
  const { baseNumber, baseVersion } = head;
  const isRecent = head.version - baseVersion < BASE_INTERVAL_CHANGES;
  if (head.inlineState === "" && isRecent) {
    return ok({ baseNumber, baseVersion });
  }
  const next = { baseNumber: baseNumber + 1, baseVersion: head.version };
  for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt += 1) {
    const stored = await options.reader.readBase(next.baseNumber);
    if (stored.isErr()) {
      continue;
    }
    const { base, storeVersion } = stored.value;
    if ((base?.baseNumber ?? 0) > next.baseNumber) {
      return err(createConflictError());
    }
    if (
      base?.baseNumber === next.baseNumber && base.version === head.version
    ) {
      return ok(next);
    }
    const written = await options.store.write(
      formatBaseKey(next.baseNumber),
      createBase(accepted, next.baseNumber),
      storeVersion,
    );
    if (written.isOk()) {
      return ok(next);
    }
  }
  return err(
    new VError(
      { name: "StoreUnavailable" },
      "the base object could not be stored; nothing was changed",
    ),
  );
}

function createBase({ head, state }: AcceptedState, baseNumber: number) {
  return {
    baseNumber,
    version: head.version,
    state: compressState(state),
    changes: head.changes.filter(({ version }) => version > head.baseVersion),
  };
}

function createConflictError(): VError {
  return new VError(
    { name: "ConfigurationConflict", info: { changes: [] } },
    "the configuration was changed many times concurrently; read it again",
  );
}
