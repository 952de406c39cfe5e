/**
 * Generation of a configuration from answers to the questionnaire.
 */

import type {
  Configuration,
  QuestionnaireAnswers,
} from "../generated/types.ts";

/** Ratio of each limit reserved for an important class. */
const IMPORTANT_RESERVED_RATIO = 0.1;

/** Maximum ratio of each limit reserved for all important classes together. */
const MAX_TOTAL_RESERVED_RATIO = 0.5;

/** Typical response size from which a request is classified as bulk, in bytes. */
const MIN_BULK_ANSWER_BYTES = 65_536;

/** Retries allowed in the whole call tree of a repeatable request. */
const REPEATABLE_RETRY_ALLOWANCE = 3;

/** Retries allowed for other requests; each requires proof that the previous attempt was not executed. */
const NON_REPEATABLE_RETRY_ALLOWANCE = 1;

/** Retries allowed per successful call on one edge of the call graph. */
const RETRY_RATIO = 0.1;

const BITS_PER_MEGABIT = 1_000_000;

/**
 * Generates the configuration that answers describe.
 *
 * @param answers - Answers that match the schema
 * @returns The configuration, not yet checked for inconsistencies
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
