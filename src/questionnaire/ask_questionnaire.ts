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
const USUAL_DEADLINE_MS = 2_000;
const USUAL_ANSWER_BYTES = 2_000;
const USUAL_LINK_MEGABITS = 30;

/** Asks the questions of one questionnaire. */
class Interview {
  /** Whether the input ended before the last question. */
  isEnded = false;
  readonly #input: LineInput;

  constructor(input: LineInput) {
    this.#input = input;
  }

  async ask<T>(question: Question<T>): Promise<T> {
    const value = this.isEnded
      ? undefined
      : await askValue(this.#input, question);
    this.isEnded ||= value === undefined;
    return value ?? question.empty;
  }

  async askRegion(
    name: string,
    known: RegionAnswer | undefined,
  ): Promise<RegionAnswer> {
    const failureDomains = await this.ask(
      createListQuestion(
        `Failure domains of region ${name}`,
        known?.failureDomains,
      ),
    );
    return { name, failureDomains: [...failureDomains] };
  }

  async askService(
    name: string,
    known: ServiceAnswer | undefined,
  ): Promise<ServiceAnswer> {
    this.#input.tell(`Service ${name}`);
    const instances = await this.ask(
      createNumberQuestion("  Backend servers", known?.instances, 1),
    );
    const slots = await this.ask(
      createNumberQuestion("  Slots of each", known?.slots, 1),
    );
    const connections = await this.ask(
      createNumberQuestion("  Connections of each", known?.connections, 1),
    );
    const calls = await this.ask(
      createListQuestion("  Services that it calls", known?.calls ?? []),
    );
    return { name, instances, slots, connections, calls: [...calls] };
  }

  async askRequest(
    name: string,
    known: RequestAnswer | undefined,
    classes: readonly string[],
  ): Promise<RequestAnswer> {
    this.#input.tell(`Request ${name}`);
    const service = await this.ask(
      createNameQuestion("  Service that callers address", known?.service),
    );
    const method = await this.ask(
      createNameQuestion("  Method", known?.method ?? "GET", METHODS),
    ) as RequestAnswer["method"];
    const pathPrefix = await this.ask(
      createNameQuestion("  Start of the path", known?.pathPrefix),
    );
    const className = await this.ask(
      createNameQuestion("  Class", known?.className, classes),
    );
    const mayRunTwice = await this.ask(
      createYesNoQuestion("  May it run twice", known?.mayRunTwice),
    );
    const deadlineMs = await this.ask(
      createNumberQuestion(
        "  Deadline in milliseconds",
        known?.deadlineMs ?? USUAL_DEADLINE_MS,
        1,
      ),
    );
    const answerBytes = await this.ask(
      createNumberQuestion(
        "  Usual size of an answer in bytes",
        known?.answerBytes ?? USUAL_ANSWER_BYTES,
        0,
      ),
    );
    const passesThrough = await this.ask(
      createListQuestion(
        "  Services below, - for all that calls lead to",
        known?.passesThrough ?? [],
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
 * @param known - Earlier answers, if any
 * @returns The answers, not yet validated; undefined where the input ended before the last
 *
 * @example
 * const answers = await askQuestionnaire(input, state.answers);
 */
export async function askQuestionnaire(
  input: LineInput,
  known: QuestionnaireAnswers | null,
): Promise<QuestionnaireAnswers | undefined> {
  const interview = new Interview(input);
  const answers = await askAll(interview, known);
  return interview.isEnded ? undefined : answers;
}

async function askAll(
  interview: Interview,
  known: QuestionnaireAnswers | null,
): Promise<QuestionnaireAnswers> {
  const name = await interview.ask(
    createNameQuestion("Name of the deployment", known?.name),
  );
  const regions = await askEach(
    interview,
    createListQuestion("Regions", known?.regions.map(readName)),
    (each) => interview.askRegion(each, findNamed(known?.regions, each)),
  );
  const regionLinkMegabitsPerSecond = await interview.ask(
    createNumberQuestion(
      "Link between two regions in Mbit/s",
      known?.regionLinkMegabitsPerSecond ?? USUAL_LINK_MEGABITS,
      0.001,
    ),
  );
  const classes = await interview.ask(
    createListQuestion(
      "Classes of requests, what matters most first",
      known?.classes,
    ),
  );
  const importantClasses = await interview.ask(
    createListQuestion(
      "Classes that must be served under overload",
      known?.importantClasses ?? classes.slice(0, 1),
    ),
  );
  const tenants = await interview.ask(
    createListQuestion("Kinds of callers", known?.tenants),
  );
  const services = await askEach(
    interview,
    createListQuestion("Services", known?.services.map(readName)),
    (each) => interview.askService(each, findNamed(known?.services, each)),
  );
  const requests = await askEach(
    interview,
    createListQuestion("Requests", known?.requests.map(readName)),
    (each) =>
      interview.askRequest(each, findNamed(known?.requests, each), classes),
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

async function askEach<T>(
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

function readName({ name }: { readonly name: string }): string {
  return name;
}

function findNamed<T extends { readonly name: string }>(
  entries: readonly T[] | undefined,
  name: string,
): T | undefined {
  return entries?.find((entry) => entry.name === name);
}
