/**
 * Reads configurations from the object API.
 *
 * The head object contains the latest changes as patches and refers to a base
 * object with a full state. A reader that is a few versions behind therefore
 * reads a few kilobytes, regardless of the size of the configuration.
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
import { NO_VERSION } from "../store/mod.ts";
import type {
  ObjectStore,
  StoredObject,
  StoreFailure,
  StoreVersion,
} from "../store/mod.ts";
import {
  applyAnswersPatches,
  applyConfigurationPatches,
} from "./apply_patches.ts";
import { decompressState } from "./compress_state.ts";
import { CONFIGURATION_KEY, formatBaseKey } from "./configuration_objects.ts";
import type { VersionedState } from "./configuration_state.ts";

/** The head object with the version that the store assigned to it. */
export interface StoredHead {
  readonly storeVersion: StoreVersion;
  readonly head: ConfigurationHead;
}

/** A base object with the version that the store assigned to it. */
export interface StoredBase {
  readonly storeVersion: StoreVersion;
  readonly base: ConfigurationBase | undefined;
}

/** Reads the head object, base objects and full states. */
export class ConfigurationReader {
  readonly #store: ObjectStore;

  constructor(store: ObjectStore) {
    this.#store = store;
  }

  /** Reads the head object; undefined before the first configuration. */
  async readHead(): Promise<Result<StoredHead | undefined, VError>> {
    const object = await this.#store.read(CONFIGURATION_KEY);
    return object.mapErr(createStoreError).andThen(parseHead);
  }

  /** Waits for a head newer than a store version; undefined on timeout. */
  async watchHead(
    afterStoreVersion: StoreVersion,
    timeoutMs: number,
  ): Promise<Result<StoredHead | undefined, VError>> {
    const object = await this.#store.watch(
      CONFIGURATION_KEY,
      afterStoreVersion,
      timeoutMs,
    );
    return object.mapErr(createStoreError).andThen(parseHead);
  }

  /** Reads a slot of the base ring, which may hold a different base than `baseNumber`. */
  async readBase(baseNumber: number): Promise<Result<StoredBase, VError>> {
    const object = await this.#store.read(formatBaseKey(baseNumber));
    return object.mapErr(createStoreError).andThen(parseBase);
  }

  /**
   * Returns the full state at the head, by patching `known` if the head's
   * changes go back to it.
   */
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
        : err(createError("ConfigurationMoved", "the base object was replaced"))
    );
  }
}

/**
 * Decompresses the state in a base object.
 *
 * @param base - The base object
 * @returns The state at the base's version, or the error of {@link decompressState}
 *
 * @example
 * const state = decompressBase(base);
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
 * Applies the changes that are newer than a state.
 *
 * @param state - The state to patch
 * @param changes - Changes in ascending order; older ones are skipped
 * @returns The state at the last change, `ConfigurationGap` if a patch is missing, or
 *   the error of applying the patches
 *
 * @example
 * const latest = applyChanges(base, head.changes);
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
    return err(
      createError("ConfigurationGap", "a change or its patch is missing"),
    );
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
        `object ${CONFIGURATION_KEY} is not a valid configuration head`,
      ),
    );
}

function parseBase(
  object: StoredObject | undefined,
): Result<StoredBase, VError> {
  if (!object) {
    return ok({ storeVersion: NO_VERSION, base: undefined });
  }
  const { value, version: storeVersion } = object;
  return validateConfigurationBase(value)
    ? ok({ storeVersion, base: value })
    : err(
      createError(
        "ConfigurationCorrupt",
        "a base object does not match its schema",
      ),
    );
}

function createStoreError(failure: StoreFailure): VError {
  return new VError(
    {
      name: "StoreUnavailable",
      info: { kind: failure.kind, reason: failure.reason },
    },
    "the object API is unavailable: %s",
    failure.message,
  );
}

function createError(name: string, message: string): VError {
  return new VError({ name }, "%s", message);
}
