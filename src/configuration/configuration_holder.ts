/**
 * The active configuration of one process.
 */

import type { Configuration } from "../generated/types.ts";
import { canonicalizeNamedLists } from "./canonicalize_named_lists.ts";
import { compileConfiguration } from "./compile_configuration.ts";
import type { CompiledConfiguration } from "./compiled_configuration.ts";
import { digestConfiguration } from "./digest_configuration.ts";
import type { DocumentPatch } from "./document_patch.ts";

/** Number of recent patches retained for peers that are a few versions behind. */
const MAX_RETAINED_PATCHES = 64;

/** Holds the active configuration and replaces it only with a higher version. */
export class ConfigurationHolder {
  #current: CompiledConfiguration | undefined;
  #digest: string | undefined;
  #patches: readonly DocumentPatch[] = [];
  readonly #listeners = new Set<
    (configuration: CompiledConfiguration) => void
  >();

  /** The active configuration; undefined until one has been received. */
  get current(): CompiledConfiguration | undefined {
    return this.#current;
  }

  /** Active version; 0 before the first configuration. */
  get version(): number {
    return this.#current?.version ?? 0;
  }

  /** Digest of the active configuration; empty before the first configuration. */
  get digest(): string {
    if (this.#current && this.#digest === undefined) {
      this.#digest = digestConfiguration(this.#current.document);
    }
    return this.#digest ?? "";
  }

  /**
   * Activates a valid document if its version is higher than the active one.
   * Returns whether it was activated.
   *
   * `patches` lead from the active version to `version`, one per version, if they
   * are known; they are retained for peers.
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

  /** Whether a version may replace the active one. */
  protected isNewer(version: number): boolean {
    return version > this.version;
  }

  /**
   * Lists the patches from a version to the active one; undefined if they are
   * not retained.
   */
  listPatchesSince(version: number): readonly DocumentPatch[] | undefined {
    const count = this.version - version;
    return count >= 0 && count <= this.#patches.length
      ? this.#patches.slice(this.#patches.length - count)
      : undefined;
  }

  /** Calls `listener` on each change; returns a function that unsubscribes it. */
  subscribe(
    listener: (configuration: CompiledConfiguration) => void,
  ): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
