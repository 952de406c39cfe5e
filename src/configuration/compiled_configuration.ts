/**
 * The configuration in the form that decisions use.
 */

import type {
  Configuration,
  RequestConfiguration,
} from "../generated/types.ts";

/** A request kind with what was derived from the call graph. */
export interface CompiledRequest extends RequestConfiguration {
  /** Rank of its class; 0 is the most important. */
  readonly classRank: number;
  /** Every service that a call of this kind may pass through, its own first. */
  readonly path: readonly string[];
}

/** A configuration with its version and derived tables. */
export interface CompiledConfiguration {
  readonly version: number;
  readonly document: Configuration;
  readonly requestsByService: ReadonlyMap<string, readonly CompiledRequest[]>;
  /** Request kinds that callers reach by host, by path prefix. */
  readonly routesByHost: ReadonlyMap<
    string,
    ReadonlyMap<string, CompiledRequest>
  >;
  readonly requestsByName: ReadonlyMap<string, CompiledRequest>;
  readonly classRanks: ReadonlyMap<string, number>;
  readonly callsByService: ReadonlyMap<string, readonly string[]>;
  readonly regionByFailureDomain: ReadonlyMap<string, string>;
}
