/**
 * Fleet plans for the example users. As an operator would do it, the
 * configuration is generated from the user's questionnaire answers.
 */

import { readFile } from "node:fs/promises";
import { compileConfiguration } from "../configuration/mod.ts";
import type { CompiledRequest } from "../configuration/mod.ts";
import type { QuestionnaireAnswers } from "../generated/types.ts";
import {
  generateConfiguration,
  validateAnswers,
} from "../questionnaire/mod.ts";
import type { BackendBehavior } from "../testing/backend_server_stand_in.ts";
import type { FleetPlan, VmPlan } from "./fleet.ts";
import { PROJECT_ROOT } from "./project_root.ts";

/** Example users, named after their answers files in `examples/`. */
export type ExampleName = "rondevaart" | "verrou_boreal";

/** Options of a fleet for an example user. */
export interface ExampleFleetOptions {
  readonly protection: "on" | "off";
  /** Second byte of the loopback addresses; keeps concurrent fleets apart. */
  readonly network: number;
  readonly slots: number;
  readonly behavior?: Partial<BackendBehavior>;
}

const STORE_PORT = 7000;

/**
 * Creates a plan with one instance of each service in each failure domain of an
 * example.
 *
 * @param name - Example user
 * @param options - Protection, loopback network, slots and backend behavior
 * @returns The fleet plan; the promise rejects if the answers file is missing or
 *   invalid
 *
 * @example
 * const plan = await createExampleFleetPlan("rondevaart", { protection: "on", network, slots: 6 });
 */
export async function createExampleFleetPlan(
  name: ExampleName,
  options: ExampleFleetOptions,
): Promise<FleetPlan> {
  const answers = await readAnswers(name);
  const configuration = generateConfiguration(answers);
  const { requestsByName } = compileConfiguration(configuration, 1);
  const { network, protection } = options;
  return {
    configuration,
    answers,
    chains: Object.fromEntries(
      [...requestsByName.values()].map((request) => [
        request.pathPrefix.slice(1),
        buildCallChain(request, answers),
      ]),
    ),
    vms: planVms(answers, options),
    storeAddress: `127.${network}.255.1`,
    storePort: STORE_PORT,
    protection,
    randomSeed: network,
  };
}

async function readAnswers(name: ExampleName): Promise<QuestionnaireAnswers> {
  const file = new URL(`examples/${name}.answers.json`, PROJECT_ROOT);
  const answers: unknown = JSON.parse(await readFile(file, "utf8"));
  return validateAnswers(answers)._unsafeUnwrap();
}

/**
 * Orders the services of a request so that each one may call the next according
 * to the answers.
 */
function buildCallChain(
  request: CompiledRequest,
  { services }: QuestionnaireAnswers,
): string[] {
  const chain = [request.service];
  const remaining = new Set(request.path);
  remaining.delete(request.service);
  while (remaining.size > 0) {
    const calls = services.find(({ name }) => name === chain.at(-1))?.calls;
    const next = calls?.find((called) => remaining.has(called));
    if (next === undefined) {
      break;
    }
    chain.push(next);
    remaining.delete(next);
  }
  return chain;
}

function planVms(
  { regions, services }: QuestionnaireAnswers,
  { network, slots, behavior }: ExampleFleetOptions,
): VmPlan[] {
  const domains = regions.flatMap(({ name: region, failureDomains }) =>
    failureDomains.map((failureDomain) => ({ region, failureDomain }))
  );
  return domains.flatMap((domain, domainIndex) =>
    services.map(({ name: service }, index): VmPlan => ({
      ...domain,
      service,
      address: `127.${network}.${domainIndex}.${index + 1}`,
      slots,
      ...behavior === undefined ? {} : { behavior },
    }))
  );
}
