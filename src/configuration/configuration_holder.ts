/**
 * The configuration in force in one process.
 */

import type { Configuration } from "../generated/types.ts";
import { compileConfiguration } from "./compile_configuration.ts";
import type { CompiledConfiguration } from "./compiled_configuration.ts";

/** Holds the configuration with the highest version seen; it never moves to a lower one. */
export class ConfigurationHolder {
  #current: CompiledConfiguration | undefined;
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

  /** Puts a valid document in force if its version is higher; tells whether it did. */
  offer(document: Configuration, version: number): boolean {
    if (version <= this.version) {
      return false;
    }
    this.#current = compileConfiguration(document, version);
    for (const listener of this.#listeners) {
      listener(this.#current);
    }
    return true;
  }

  /** Calls `listener` at each change until the result is called. */
  subscribe(
    listener: (configuration: CompiledConfiguration) => void,
  ): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
