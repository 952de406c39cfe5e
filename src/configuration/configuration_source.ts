/**
 * Sources of accepted configurations.
 */

import type { Result } from "neverthrow";
import type VError from "verror";
import type { ConfigurationChange } from "../generated/types.ts";
import type { StoreVersion } from "../store/mod.ts";
import type {
  ConfigurationReader,
  StoredHead,
} from "./configuration_reader.ts";
import type { VersionedState } from "./configuration_state.ts";

/** The latest accepted version, with access to its state. */
export interface AcceptedHead {
  /** Version that the store assigned to the head object. */
  readonly storeVersion: StoreVersion;
  /** Version of the configuration; undefined if it is invalid and states none. */
  readonly version: number | undefined;
  /** Latest changes, with their patches if these are retained. */
  readonly changes: readonly ConfigurationChange[];
  /** Returns the full state, derived from `known` if that saves reads. */
  readState(known?: VersionedState): Promise<Result<VersionedState, VError>>;
}

/** Reads and watches the accepted configuration. */
export abstract class ConfigurationSource {
  /** Reads the latest head; undefined before the first configuration. */
  abstract read(): Promise<Result<AcceptedHead | undefined, VError>>;

  /** Waits for a head newer than a store version; undefined on timeout. */
  abstract watch(
    afterStoreVersion: StoreVersion,
    timeoutMs: number,
  ): Promise<Result<AcceptedHead | undefined, VError>>;
}

/** Configurations in the format that the command-line tool writes. */
export class StoredConfigurationSource extends ConfigurationSource {
  readonly #reader: ConfigurationReader;

  constructor(reader: ConfigurationReader) {
    super();
    this.#reader = reader;
  }

  override async read(): Promise<Result<AcceptedHead | undefined, VError>> {
    const stored = await this.#reader.readHead();
    return stored.map((each) => this.#convert(each));
  }

  override async watch(
    afterStoreVersion: StoreVersion,
    timeoutMs: number,
  ): Promise<Result<AcceptedHead | undefined, VError>> {
    const stored = await this.#reader.watchHead(afterStoreVersion, timeoutMs);
    return stored.map((each) => this.#convert(each));
  }

  #convert(stored: StoredHead | undefined): AcceptedHead | undefined {
    return stored && {
      storeVersion: stored.storeVersion,
      version: stored.head.version,
      changes: stored.head.changes,
      readState: (known) => this.#reader.readState(stored.head, known),
    };
  }
}
