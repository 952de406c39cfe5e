/**
 * The configuration in force in one process.
 */

import type { Configuration } from "../generated/types.ts";
import { canonicalizeNamedLists } from "./canonicalize_named_lists.ts";
import { compileConfiguration } from "./compile_configuration.ts";
import type { CompiledConfiguration } from "./compiled_configuration.ts";
import { digestConfiguration } from "./digest_configuration.ts";
import type { DocumentPatch } from "./document_patch.ts";

/** Patches kept for peers that are a few versions behind. */
const MAX_RETAINED_PATCHES = 64;

/** Holds the configuration with the highest version seen; it never moves to a lower one. */
export class ConfigurationHolder {
  #current: CompiledConfiguration | undefined;
  #digest: string | undefined;
  #patches: readonly DocumentPatch[] = [];
  readonly #listeners = new Set<
    (configuration: CompiledConfiguration) => void
  >();

  /** The configuration in force, if one has been received. */
  get current(): CompiledConfiguration | undefined {
    return this.#current;
  }

  /** Version in force; 0 before the first. */
  get version(): number {
    return this.#current?.version ?? 0;
  }

  /** Digest of the configuration in force; empty before the first. */
  get digest(): string {
    if (this.#current && this.#digest === undefined) {
      this.#digest = digestConfiguration(this.#current.document);
    }
    return this.#digest ?? "";
  }

  /**
   * Puts a valid document in force if its version is higher; tells whether it did.
   *
   * `patches` lead from the version in force to `version`, one for each version
   * between, where they are known; they are kept for peers.
   */
  replaceIfNewer(
    document: Configuration,
    version: number,
    patches: readonly DocumentPatch[] = [],
  ): boolean {
    if (!this.isNewer(version)) {
      return false;
    }
    const hasAllPatches = this.version > 0 &&
      patches.length === version - this.version;
    this.#patches = hasAllPatches
      ? [...this.#patches, ...patches].slice(-MAX_RETAINED_PATCHES)
      : [];
    this.#digest = undefined;
    this.#current = compileConfiguration(
      canonicalizeNamedLists(document),
      version,
    );
    for (const listener of this.#listeners) {
      listener(this.#current);
    }
    return true;
  }

  /** Whether a version may take the place of the one in force. */
  protected isNewer(version: number): boolean {
    return version > this.version;
  }

  /** The patches that lead from a version to the one in force; undefined where they are not kept. */
  listPatchesSince(version: number): readonly DocumentPatch[] | undefined {
    const count = this.version - version;
    return count >= 0 && count <= this.#patches.length
      ? this.#patches.slice(this.#patches.length - count)
      : undefined;
  }

  /** Calls `listener` at each change until the result is called. */
  subscribe(
    listener: (configuration: CompiledConfiguration) => void,
  ): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
