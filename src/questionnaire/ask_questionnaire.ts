/**
 * The questionnaire, asked question by question.
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

/** Asks the questions of one questionnaire. */
class Interview {
  /** Whether the input ended before the last question. */
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
      createNumberQuestion("  Slots of each", previous?.slots, 1),
    );
    const connections = await this.ask(
      createNumberQuestion("  Connections of each", previous?.connections, 1),
    );
    const calls = await this.ask(
      createListQuestion("  Services that it calls", previous?.calls ?? []),
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
      createNameQuestion("  Service that callers address", previous?.service),
    );
    const method = await this.ask(
      createNameQuestion("  Method", previous?.method ?? "GET", METHODS),
    ) as RequestAnswer["method"];
    const pathPrefix = await this.ask(
      createNameQuestion("  Start of the path", previous?.pathPrefix),
    );
    const className = await this.ask(
      createNameQuestion("  Class", previous?.className, classes),
    );
    const mayRunTwice = await this.ask(
      createYesNoQuestion("  May it run twice", previous?.mayRunTwice),
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
        "  Usual size of an answer in bytes",
        previous?.answerBytes ?? DEFAULT_ANSWER_BYTES,
        0,
      ),
    );
    const passesThrough = await this.ask(
      createListQuestion(
        "  Services below, - for all that calls lead to",
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
 * Asks every question; earlier answers are what an empty line means.
 *
 * @param input - Where answers come from
 * @param previous - Earlier answers, if any
 * @returns The answers, not yet validated; undefined where the input ended before the last
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
    (each) => interview.askRegion(each, findByName(previous?.regions, each)),
  );
  const regionLinkMegabitsPerSecond = await interview.ask(
    createNumberQuestion(
      "Link between two regions in Mbit/s",
      previous?.regionLinkMegabitsPerSecond ?? DEFAULT_LINK_MEGABITS,
      0.001,
    ),
  );
  const classes = await interview.ask(
    createListQuestion(
      "Classes of requests, what matters most first",
      previous?.classes,
    ),
  );
  const importantClasses = await interview.ask(
    createListQuestion(
      "Classes that must be served under overload",
      previous?.importantClasses ?? classes.slice(0, 1),
    ),
  );
  const tenants = await interview.ask(
    createListQuestion("Kinds of callers", previous?.tenants),
  );
  const services = await askForEach(
    interview,
    createListQuestion("Services", previous?.services.map(getName)),
    (each) => interview.askService(each, findByName(previous?.services, each)),
  );
  const requests = await askForEach(
    interview,
    createListQuestion("Requests", previous?.requests.map(getName)),
    (each) =>
      interview.askRequest(each, findByName(previous?.requests, each), classes),
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
