/**
 * Interactive questionnaire.
 */

import type { QuestionnaireAnswers } from "../generated/types.ts";
import {
  askValue,
  createListQuestion,
  createNameQuestion,
  createNumberQuestion,
  createYesNoQuestion,
} from "./ask_value.ts";
import type { Question } from "./ask_value.ts";
import type { LineInput } from "./line_input.ts";

type ServiceAnswer = QuestionnaireAnswers["services"][number];
type RequestAnswer = QuestionnaireAnswers["requests"][number];
type RegionAnswer = QuestionnaireAnswers["regions"][number];

const METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"] as const;
const DEFAULT_DEADLINE_MS = 2_000;
const DEFAULT_ANSWER_BYTES = 2_000;
const DEFAULT_LINK_MEGABITS = 30;

/** Asks the questions of one questionnaire and records whether the input has ended. */
class Interview {
  /** Whether the input ended before the last answer. */
  hasInputEnded = false;
  readonly #input: LineInput;

  constructor(input: LineInput) {
    this.#input = input;
  }

  async ask<T>(question: Question<T>): Promise<T> {
    const value = this.hasInputEnded
      ? undefined
      : await askValue(this.#input, question);
    this.hasInputEnded ||= value === undefined;
    return value ?? question.valueAtEndOfInput;
  }

  async askRegion(
    name: string,
    previous: RegionAnswer | undefined,
  ): Promise<RegionAnswer> {
    const failureDomains = await this.ask(
      createListQuestion(
        `Failure domains of region ${name}`,
        previous?.failureDomains,
      ),
    );
    return { name, failureDomains: [...failureDomains] };
  }

  async askService(
    name: string,
    previous: ServiceAnswer | undefined,
  ): Promise<ServiceAnswer> {
    this.#input.writeLine(`Service ${name}`);
    const instances = await this.ask(
      createNumberQuestion("  Backend servers", previous?.instances, 1),
    );
    const slots = await this.ask(
      createNumberQuestion("  Slots per backend server", previous?.slots, 1),
    );
    const connections = await this.ask(
      createNumberQuestion(
        "  Connections per backend server",
        previous?.connections,
        1,
      ),
    );
    const calls = await this.ask(
      createListQuestion("  Services called by it", previous?.calls ?? []),
    );
    return { name, instances, slots, connections, calls: [...calls] };
  }

  async askRequest(
    name: string,
    previous: RequestAnswer | undefined,
    classes: readonly string[],
  ): Promise<RequestAnswer> {
    this.#input.writeLine(`Request ${name}`);
    const service = await this.ask(
      createNameQuestion("  Service that receives it", previous?.service),
    );
    const method = await this.ask(
      createNameQuestion("  Method", previous?.method ?? "GET", METHODS),
    ) as RequestAnswer["method"];
    const pathPrefix = await this.ask(
      createNameQuestion("  Path prefix", previous?.pathPrefix),
    );
    const className = await this.ask(
      createNameQuestion("  Class", previous?.className, classes),
    );
    const mayRunTwice = await this.ask(
      createYesNoQuestion("  May it be executed twice", previous?.mayRunTwice),
    );
    const deadlineMs = await this.ask(
      createNumberQuestion(
        "  Deadline in milliseconds",
        previous?.deadlineMs ?? DEFAULT_DEADLINE_MS,
        1,
      ),
    );
    const answerBytes = await this.ask(
      createNumberQuestion(
        "  Typical response size in bytes",
        previous?.answerBytes ?? DEFAULT_ANSWER_BYTES,
        0,
      ),
    );
    const passesThrough = await this.ask(
      createListQuestion(
        "  Services it passes through, - for all that are reachable by calls",
        previous?.passesThrough ?? [],
      ),
    );
    return {
      name,
      service,
      method,
      pathPrefix,
      className,
      mayRunTwice,
      deadlineMs,
      answerBytes,
      passesThrough: [...passesThrough],
    };
  }
}

/**
 * Asks all questions. Previous answers are the defaults, which an empty line accepts.
 *
 * @param input - Input to read answers from
 * @param previous - Previous answers; null if there are none
 * @returns The answers, not yet validated; undefined if the input ended before the last one
 *
 * @example
 * const answers = await askQuestionnaire(input, state.answers);
 */
export async function askQuestionnaire(
  input: LineInput,
  previous: QuestionnaireAnswers | null,
): Promise<QuestionnaireAnswers | undefined> {
  const interview = new Interview(input);
  const answers = await askAll(interview, previous);
  return interview.hasInputEnded ? undefined : answers;
}

async function askAll(
  interview: Interview,
  previous: QuestionnaireAnswers | null,
): Promise<QuestionnaireAnswers> {
  const name = await interview.ask(
    createNameQuestion("Name of the deployment", previous?.name),
  );
  const regions = await askForEach(
    interview,
    createListQuestion("Regions", previous?.regions.map(getName)),
    (region) =>
      interview.askRegion(region, findByName(previous?.regions, region)),
  );
  const regionLinkMegabitsPerSecond = await interview.ask(
    createNumberQuestion(
      "Bandwidth between two regions in Mbit/s",
      previous?.regionLinkMegabitsPerSecond ?? DEFAULT_LINK_MEGABITS,
      0.001,
    ),
  );
  const classes = await interview.ask(
    createListQuestion(
      "Request classes, most important first",
      previous?.classes,
    ),
  );
  const importantClasses = await interview.ask(
    createListQuestion(
      "Important classes, which must be served under overload",
      previous?.importantClasses ?? classes.slice(0, 1),
    ),
  );
  const tenants = await interview.ask(
    createListQuestion(
      "Client accounts (kinds of callers)",
      previous?.tenants,
    ),
  );
  const services = await askForEach(
    interview,
    createListQuestion("Services", previous?.services.map(getName)),
    (service) =>
      interview.askService(service, findByName(previous?.services, service)),
  );
  const requests = await askForEach(
    interview,
    createListQuestion("Requests", previous?.requests.map(getName)),
    (request) =>
      interview.askRequest(
        request,
        findByName(previous?.requests, request),
        classes,
      ),
  );
  return {
    name,
    regions,
    regionLinkMegabitsPerSecond,
    classes: [...classes],
    importantClasses: [...importantClasses],
    tenants: [...tenants],
    services,
    requests,
  };
}

async function askForEach<T>(
  interview: Interview,
  question: Question<readonly string[]>,
  askOne: (name: string) => Promise<T>,
): Promise<T[]> {
  const names = await interview.ask(question);
  const answers: T[] = [];
  for (const name of names) {
    answers.push(await askOne(name));
  }
  return answers;
}

function getName({ name }: { readonly name: string }): string {
  return name;
}

function findByName<T extends { readonly name: string }>(
  entries: readonly T[] | undefined,
  name: string,
): T | undefined {
  return entries?.find((entry) => entry.name === name);
}
