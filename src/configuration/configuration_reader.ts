/**
 * Reading of configurations from the object API.
 *
 * The head object carries the latest changes as patches and names a base object
 * with a whole state, so that a reader that is a few versions behind reads a few
 * kilobytes whatever the size of the configuration.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import type {
  ConfigurationBase,
  ConfigurationChange,
  ConfigurationHead,
} from "../generated/types.ts";
import {
  validateConfigurationBase,
  validateConfigurationHead,
} from "../generated/validators.ts";
import type { ObjectStore, StoredObject, StoreFailure } from "../store/mod.ts";
import {
  applyAnswersPatches,
  applyConfigurationPatches,
} from "./apply_change.ts";
import { decompressState } from "./compress_state.ts";
import { CONFIGURATION_KEY, formatBaseKey } from "./configuration_objects.ts";
import type { VersionedState } from "./configuration_state.ts";

/** The head object with the version that the store gave it. */
export interface StoredHead {
  readonly storeVersion: number;
  readonly head: ConfigurationHead;
}

/** A base object with the version that the store gave it. */
export interface StoredBase {
  readonly storeVersion: number;
  readonly base: ConfigurationBase | undefined;
}

/** Reads the head, its base and whole states. */
export class ConfigurationReader {
  readonly #store: ObjectStore;

  constructor(store: ObjectStore) {
    this.#store = store;
  }

  /** Reads the head; undefined before the first configuration. */
  async readHead(): Promise<Result<StoredHead | undefined, VError>> {
    const object = await this.#store.read(CONFIGURATION_KEY);
    return object.mapErr(createStoreError).andThen(parseHead);
  }

  /** Waits for a head above a store version; undefined when none came in time. */
  async watchHead(
    afterStoreVersion: number,
    timeoutMs: number,
  ): Promise<Result<StoredHead | undefined, VError>> {
    const object = await this.#store.watch(
      CONFIGURATION_KEY,
      afterStoreVersion,
      timeoutMs,
    );
    return object.mapErr(createStoreError).andThen(parseHead);
  }

  /** Reads a base object, whichever base its place in the ring holds now. */
  async readBase(baseNumber: number): Promise<Result<StoredBase, VError>> {
    const object = await this.#store.read(formatBaseKey(baseNumber));
    return object.mapErr(createStoreError).andThen(parseBase);
  }

  /** Gives the whole state at the head, from `known` where the head's changes reach back to it. */
  async readState(
    head: ConfigurationHead,
    known?: VersionedState,
  ): Promise<Result<VersionedState, VError>> {
    if (known?.version === head.version) {
      return ok(known);
    }
    const patched = known && applyChanges(known, head.changes);
    if (patched?.isOk() && patched.value.version === head.version) {
      return patched;
    }
    if (head.inlineState !== "") {
      return decompressState(head.inlineState).map((state) => ({
        ...state,
        version: head.version,
      }));
    }
    const stored = await this.readBase(head.baseNumber);
    return stored.andThen(({ base }) =>
      base?.baseNumber === head.baseNumber
        ? decompressBase(base).andThen((state) =>
          applyChanges(state, head.changes)
        )
        : err(createError("ConfigurationMoved", "the base has been replaced"))
    );
  }
}

/**
 * Restores the state that a base holds.
 *
 * @param base - The base
 * @returns The state at the base's version
 *
 * @example
 * const state = expandBase(base);
 */
export function decompressBase(
  base: ConfigurationBase,
): Result<VersionedState, VError> {
  return decompressState(base.state).map((state) => ({
    ...state,
    version: base.version,
  }));
}

/**
 * Applies those of the given changes that follow a state.
 *
 * @param state - The state
 * @param changes - Changes in order; older ones are skipped
 * @returns The state at the last change, or an error where a patch is missing or does not fit
 *
 * @example
 * const latest = patchState(base, head.changes);
 */
export function applyChanges(
  state: VersionedState,
  changes: readonly ConfigurationChange[],
): Result<VersionedState, VError> {
  const next = changes.filter(({ version }) => version > state.version);
  const last = next.at(-1);
  if (!last) {
    return ok(state);
  }
  const patches = next.flatMap(({ patch }) =>
    patch === undefined ? [] : [patch]
  );
  if (
    next[0]?.version !== state.version + 1 || patches.length !== next.length
  ) {
    return err(createError("ConfigurationGap", "changes are missing"));
  }
  const answersPatches = next.map(({ answersPatch }) => answersPatch ?? {});
  return applyConfigurationPatches(state.configuration, patches, last.digest)
    .map((configuration) => ({
      version: last.version,
      configuration,
      answers: applyAnswersPatches(state.answers, answersPatches),
    }));
}

function parseHead(
  object: StoredObject | undefined,
): Result<StoredHead | undefined, VError> {
  if (!object) {
    return ok(undefined);
  }
  const { value, version: storeVersion } = object;
  return validateConfigurationHead(value)
    ? ok({ storeVersion, head: value })
    : err(
      createError(
        "ConfigurationCorrupt",
        `the object ${CONFIGURATION_KEY} is not a configuration head`,
      ),
    );
}

function parseBase(
  object: StoredObject | undefined,
): Result<StoredBase, VError> {
  if (!object) {
    return ok({ storeVersion: 0, base: undefined });
  }
  const { value, version: storeVersion } = object;
  return validateConfigurationBase(value)
    ? ok({ storeVersion, base: value })
    : err(createError("ConfigurationCorrupt", "a base object is invalid"));
}

function createStoreError(failure: StoreFailure): VError {
  return new VError(
    { name: "StoreUnavailable", info: { kind: failure.kind } },
    "the object API does not answer: %s",
    failure.message,
  );
}

function createError(name: string, message: string): VError {
  return new VError({ name }, "%s", message);
}
