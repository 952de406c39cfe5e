/**
 * Load signals that a daemon adds to the outcome of a run.
 */

import type { LoadSignal } from "../generated/types.ts";
import type { CallEnvironment } from "./call_environment.ts";
import type { OutboundCall } from "./outbound_call.ts";

/** Maximum number of load signals in a reply. */
const MAX_LOADS = 32;

/**
 * Collects this daemon's load, followed by the known load of overloaded
 * downstream services.
 *
 * @param environment - Components of the daemon
 * @param call - The call
 * @returns The load signals
 *
 * @example
 * const loads = collectLoads(environment, call);
 */
export function collectLoads(
  environment: CallEnvironment,
  call: OutboundCall,
): LoadSignal[] {
  const { configuration, entryAdmission, inboundAdmission, paths } =
    environment;
  const { requestName } = call.context;
  const path = paths.list(
    requestName,
    configuration.current?.requestsByName.get(requestName),
  );
  const downstream = entryAdmission.listOverloadSignals(
    path.filter((service) => service !== call.service),
  );
  return [inboundAdmission.describeLoad(call.service), ...downstream]
    .slice(0, MAX_LOADS);
}
