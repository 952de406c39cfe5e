/**
 * Generation of a configuration from answers.
 */

import type {
  Configuration,
  QuestionnaireAnswers,
} from "../generated/types.ts";

/** Share of each limit kept for an important class. */
const IMPORTANT_RESERVED_RATIO = 0.1;

/** Share of each limit kept for all important classes together. */
const MAX_TOTAL_RESERVED_RATIO = 0.5;

/** Usual size of an answer from which a request counts as bulk, in bytes. */
const MIN_BULK_ANSWER_BYTES = 65_536;

/** Extra attempts over the whole tree of calls of a repeatable request. */
const REPEATABLE_RETRY_ALLOWANCE = 3;

/** Extra attempts of other requests; each needs proof that the last did not run. */
const NON_REPEATABLE_RETRY_ALLOWANCE = 1;

/** Retries allowed per successful call on one edge. */
const RETRY_RATIO = 0.1;

const BITS_PER_MEGABIT = 1_000_000;

/**
 * Generates the configuration that answers ask for.
 *
 * @param answers - Answers of valid shape
 * @returns The configuration, not yet checked for contradictions
 *
 * @example
 * const configuration = generateConfiguration(answers);
 */
export function generateConfiguration(
  answers: QuestionnaireAnswers,
): Configuration {
  const { name, regionLinkMegabitsPerSecond, regions, tenants } = answers;
  return {
    name,
    regions: regions.map((region) => ({
      name: region.name,
      failureDomains: [...region.failureDomains],
    })),
    classes: answers.classes.map((className) => ({
      name: className,
      reservedRatio: chooseReservedRatio(className, answers),
    })),
    tenants: [...tenants],
    services: answers.services.map((service) => ({
      name: service.name,
      calls: [...service.calls],
    })),
    requests: answers.requests.map(generateRequest),
    regionLinkBitsPerSecond: Math.round(
      regionLinkMegabitsPerSecond * BITS_PER_MEGABIT,
    ),
    retryRatio: RETRY_RATIO,
  };
}

function chooseReservedRatio(
  className: string,
  { importantClasses }: QuestionnaireAnswers,
): number {
  return importantClasses.includes(className)
    ? Math.min(
      IMPORTANT_RESERVED_RATIO,
      MAX_TOTAL_RESERVED_RATIO / importantClasses.length,
    )
    : 0;
}

function generateRequest(
  answer: QuestionnaireAnswers["requests"][number],
): Configuration["requests"][number] {
  const { className, deadlineMs, method, name, pathPrefix, service } = answer;
  return {
    name,
    service,
    method,
    pathPrefix,
    className,
    isRepeatable: answer.mayRunTwice,
    isBulk: answer.answerBytes >= MIN_BULK_ANSWER_BYTES,
    deadlineMs,
    retryAllowance: answer.mayRunTwice
      ? REPEATABLE_RETRY_ALLOWANCE
      : NON_REPEATABLE_RETRY_ALLOWANCE,
    reaches: [...answer.passesThrough],
  };
}
