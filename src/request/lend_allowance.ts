/**
 * The share of a running call's retry allowance that a nested call gets.
 */

import type { CompiledConfiguration } from "../configuration/mod.ts";
import type { ActiveCall } from "./active_calls.ts";
import type { CallEnvironment } from "./call_environment.ts";

/** What the share depends on. */
export interface LendOptions {
  readonly configuration: CompiledConfiguration;
  /** Service that the nested call addresses. */
  readonly service: string;
}

/**
 * Lends a nested call its share: all that is left when no other service is
 * still to be called, an equal part otherwise.
 *
 * @param environment - The daemon's parts
 * @param parent - The running call
 * @param options - The call graph and the service that is called
 * @returns Extra attempts that the nested call may spend
 *
 * @example
 * const retryAllowance = lendAllowance(environment, parent, { configuration, service });
 */
export function lendAllowance(
  environment: CallEnvironment,
  parent: ActiveCall,
  { configuration, service }: LendOptions,
): number {
  const caller = environment.backend.announcement?.service ?? "";
  const uncalled = (configuration.callsByService.get(caller) ?? [])
    .filter((name) => name !== service && !parent.calledServices.has(name));
  parent.calledServices.add(service);
  return parent.allowance.lend(uncalled.length + 1);
}
