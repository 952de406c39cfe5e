/**
 * Computes the share of a running call's retry allowance that a nested call
 * gets.
 */

import type { CompiledConfiguration } from "../configuration/mod.ts";
import type { ActiveCall } from "./active_calls.ts";
import type { CallEnvironment } from "./call_environment.ts";

/** Inputs that determine the share. */
export interface LendOptions {
  readonly configuration: CompiledConfiguration;
  /** Service that the nested call is sent to. */
  readonly service: string;
}

/**
 * Lends a nested call its share: everything that is left if no other service of
 * the call graph remains to be called, otherwise an equal part.
 *
 * @param environment - Components of the daemon
 * @param parent - The running call
 * @param options - Call graph and the service that is called
 * @returns Number of retries that the nested call may use
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
  const remainingServices = (configuration.callsByService.get(caller) ?? [])
    .filter((name) => name !== service && !parent.calledServices.has(name));
  parent.calledServices.add(service);
  return parent.allowance.lend(remainingServices.length + 1);
}
