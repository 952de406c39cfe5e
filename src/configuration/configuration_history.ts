/**
 * Access to earlier configurations, as far back as the ring of base objects goes.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import type {
  ConfigurationBase,
  ConfigurationChange,
  ConfigurationHead,
} from "../generated/types.ts";
import { BASE_SLOTS } from "./configuration_objects.ts";
import { applyChanges, decompressBase } from "./configuration_reader.ts";
import type { ConfigurationReader } from "./configuration_reader.ts";
import type { VersionedState } from "./configuration_state.ts";

/** Reads earlier changes and states from the head and the base objects. */
export class ConfigurationHistory {
  readonly #reader: ConfigurationReader;

  constructor(reader: ConfigurationReader) {
    this.#reader = reader;
  }

  /** Lists the changes after a version, newest first, up to a limit. */
  async listChanges(
    head: ConfigurationHead,
    options: { readonly aboveVersion: number; readonly limit: number },
  ): Promise<Result<ConfigurationChange[], VError>> {
    const { aboveVersion, limit } = options;
    const byVersion = new Map<number, ConfigurationChange>();
    addChanges(byVersion, head.changes);
    let baseNumber = head.baseNumber;
    while (needsMore(byVersion, options) && this.#isInRing(head, baseNumber)) {
      const stored = await this.#reader.readBase(baseNumber);
      if (stored.isErr()) {
        return err(stored.error);
      }
      const { base } = stored.value;
      if (base?.baseNumber !== baseNumber) {
        break;
      }
      addChanges(byVersion, base.changes);
      baseNumber -= 1;
    }
    const newestFirst = [...byVersion.values()].sort((left, right) =>
      right.version - left.version
    );
    return ok(
      newestFirst.filter(({ version }) => version > aboveVersion)
        .slice(0, limit),
    );
  }

  /** Returns the state at a version, or `ConfigurationVersionUnknown`. */
  async readVersion(
    head: ConfigurationHead,
    version: number,
  ): Promise<Result<VersionedState, VError>> {
    if (version === head.version) {
      return await this.#reader.readState(head);
    }
    let changes: ConfigurationChange[] = head.changes;
    let baseNumber = head.baseNumber;
    while (this.#isInRing(head, baseNumber)) {
      const stored = await this.#reader.readBase(baseNumber);
      if (stored.isErr()) {
        return err(stored.error);
      }
      const { base } = stored.value;
      if (base?.baseNumber !== baseNumber) {
        break;
      }
      if (base.version <= version) {
        return restoreVersion(base, changes, version);
      }
      changes = [...base.changes, ...changes];
      baseNumber -= 1;
    }
    return err(
      new VError(
        { name: "ConfigurationVersionUnknown" },
        "version %d is no longer retained or was never accepted",
        version,
      ),
    );
  }

  #isInRing(head: ConfigurationHead, baseNumber: number): boolean {
    return baseNumber > 0 && head.baseNumber - baseNumber < BASE_SLOTS;
  }
}

function restoreVersion(
  base: ConfigurationBase,
  changes: readonly ConfigurationChange[],
  version: number,
): Result<VersionedState, VError> {
  const wanted = new Map<number, ConfigurationChange>();
  addChanges(
    wanted,
    changes.filter((change) =>
      change.version > base.version && change.version <= version
    ),
  );
  const inOrder = [...wanted.values()].sort((left, right) =>
    left.version - right.version
  );
  return decompressBase(base).andThen((state) => applyChanges(state, inOrder))
    .andThen((state) =>
      state.version === version ? ok(state) : err(
        new VError(
          { name: "ConfigurationVersionUnknown" },
          "version %d was never accepted",
          version,
        ),
      )
    );
}

function addChanges(
  byVersion: Map<number, ConfigurationChange>,
  changes: readonly ConfigurationChange[],
): void {
  for (const change of changes) {
    byVersion.set(change.version, byVersion.get(change.version) ?? change);
  }
}

function needsMore(
  byVersion: ReadonlyMap<number, ConfigurationChange>,
  options: { readonly aboveVersion: number; readonly limit: number },
): boolean {
  const oldest = Math.min(...byVersion.keys());
  return byVersion.size < options.limit && oldest > options.aboveVersion + 1;
}
