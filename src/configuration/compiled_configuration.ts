/**
 * The compiled form of a configuration, used for admission and routing decisions.
 */

import type {
  AccountConfiguration,
  Configuration,
  RequestConfiguration,
} from "../generated/types.ts";
import type { RouteTable } from "./route_table.ts";

/** A request kind with the values derived from the call graph. */
export interface CompiledRequest extends RequestConfiguration {
  /** Rank of the request's class; 0 is the most important. */
  readonly classRank: number;
  /** Every service that a call of this kind may pass through, starting with its own. */
  readonly path: readonly string[];
}

/** Client accounts by the ways in which they are looked up. */
export interface CompiledAccounts {
  readonly byKeyDigest: ReadonlyMap<string, AccountConfiguration>;
  readonly byName: ReadonlyMap<string, AccountConfiguration>;
}

/** A configuration document with its version and lookup tables. */
export interface CompiledConfiguration {
  readonly version: number;
  readonly document: Configuration;
  /** Request kinds by what they match. */
  readonly routes: RouteTable<CompiledRequest>;
  readonly requestsByName: ReadonlyMap<string, CompiledRequest>;
  /** Client accounts; undefined if callers need no key. */
  readonly accounts: CompiledAccounts | undefined;
  readonly classRanks: ReadonlyMap<string, number>;
  readonly callsByService: ReadonlyMap<string, readonly string[]>;
  readonly regionByFailureDomain: ReadonlyMap<string, string>;
}
