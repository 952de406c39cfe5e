/**
 * Storing of base objects.
 *
 * A base holds the state at an accepted version, so writers that race to store
 * it store the same. Its place in the ring is taken by a conditional update, so a
 * writer that was paused cannot overwrite a later base.
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

/** What storing a base needs. */
export interface EnsureBaseOptions {
  readonly store: ObjectStore;
  readonly reader: ConfigurationReader;
}

const WRITE_ATTEMPTS = 3;

/**
 * Stores a new base where the next head needs one.
 *
 * @param accepted - What is accepted now
 * @param options - Store and reader
 * @returns The base that the next head has to refer to
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
      return err(createMovedError());
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
      "the base of the configuration could not be stored; nothing was changed",
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

function createMovedError(): VError {
  return new VError(
    { name: "ConfigurationConflict", info: { changes: [] } },
    "others changed the configuration many times meanwhile; read it again",
  );
}
