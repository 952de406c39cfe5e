/**
 * The `init` command, which generates or adjusts the configuration from answers to
 * the questionnaire.
 */

import { writeFile } from "node:fs/promises";
import { Command, Option } from "clipanion";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import * as t from "typanion";
import VError from "verror";
import { validateConfigurationDocument } from "../configuration/mod.ts";
import type {
  AcceptedState,
  ConfigurationWriter,
} from "../configuration/mod.ts";
import type { ProposalFile, QuestionnaireAnswers } from "../generated/types.ts";
import {
  askQuestionnaire,
  LineInput,
  mergeAnswers,
  PREFERENCES,
  validateAnswers,
} from "../questionnaire/mod.ts";
import type { MergeResult, Preference } from "../questionnaire/mod.ts";
import { ConfigurationChangeCommand } from "./configuration_change_command.ts";
import type { CommandOutput } from "./configuration_command.ts";
import { describeDifferences } from "./describe_differences.ts";
import { EXIT_CODE_HELP } from "./exit_codes.ts";
import { readJsonFile } from "./read_proposed_document.ts";

/** Generates or adjusts the configuration from answers. */
export class InitCommand extends ConfigurationChangeCommand {
  static override paths = [["init"]];

  static override usage = Command.Usage({
    category: "Configuration",
    description: "generate or adjust the configuration from a questionnaire",
    details:
      "Asks about regions, services, the calls between them, requests, their priority and which requests must not be executed twice; " +
      "or reads the answers from a file. Answers are stored with the configuration and are the defaults of the next run; an empty line accepts the default. " +
      "Manual changes are kept and listed; if new answers change the same value, --prefer decides. " +
      EXIT_CODE_HELP,
    examples: [
      [
        "Generate a proposal from an answers file, without the object API",
        "celeryhollow init --answers examples/rondevaart.answers.json --offline --output proposal.json",
      ],
      [
        "Answer the questions and apply the result",
        "celeryhollow init --apply --admin-url http://10.1.0.5:7103 --fleet-token SECRET",
      ],
      [
        "Adjust the configuration to changed answers, which override conflicting manual changes",
        "celeryhollow init --answers answers.json --prefer answers --apply",
      ],
    ],
  });

  answers = Option.String("--answers", {
    description:
      "File with the answers; without it the questions are asked interactively",
  });

  output = Option.String("--output", {
    description: "File to write the proposal to, for `celeryhollow apply`",
  });

  apply = Option.Boolean("--apply", false, {
    description: "Apply the result immediately",
  });

  offline = Option.Boolean("--offline", false, {
    description:
      "Do not read the accepted configuration; the result is a first version",
  });

  prefer = Option.String("--prefer", {
    validator: t.isEnum(PREFERENCES),
    description:
      "Value to use if a manual change conflicts with the answers: answers or hand",
  });

  protected override async runWith(
    writer: ConfigurationWriter,
  ): Promise<Result<CommandOutput, VError>> {
    if (this.apply && this.offline) {
      return err(
        new VError(
          { name: "WrongUse" },
          "--apply and --offline cannot be combined: --apply requires the object API",
        ),
      );
    }
    const accepted = this.offline
      ? ok<AcceptedState | undefined, VError>(undefined)
      : await writer.readAccepted();
    if (accepted.isErr()) {
      return err(accepted.error);
    }
    const basedOn = accepted.value;
    const answers = await this.#readAnswers(basedOn?.state.answers ?? null);
    if (answers.isErr()) {
      return err(answers.error);
    }
    const proposal = this.#createProposal(basedOn, answers.value);
    return proposal.isErr()
      ? err(proposal.error)
      : await this.#outputProposal(writer, basedOn, proposal.value);
  }

  async #readAnswers(
    known: QuestionnaireAnswers | null,
  ): Promise<Result<QuestionnaireAnswers, VError>> {
    if (this.answers !== undefined) {
      return (await readJsonFile(this.answers)).andThen(validateAnswers);
    }
    const input = new LineInput(this.context.stdin, this.context.stderr);
    const answers = await askQuestionnaire(input, known);
    input.close();
    return answers ? validateAnswers(answers) : err(
      new VError(
        { name: "InputEnded" },
        "the input ended before the last answer; nothing was changed",
      ),
    );
  }

  #createProposal(
    basedOn: AcceptedState | undefined,
    answers: QuestionnaireAnswers,
  ): Result<ProposalFile, VError> {
    const merged = mergeAnswers(
      basedOn?.state ?? null,
      answers,
      this.prefer as Preference ?? PREFERENCES.answers,
    );
    this.#reportMergeResult(merged);
    if (merged.conflicts.length > 0 && this.prefer === undefined) {
      return err(createConflictError(merged));
    }
    return validateConfigurationDocument(merged.document).map(
      (configuration) => ({
        baseVersion: basedOn?.head.version ?? 0,
        answers,
        configuration,
      }),
    );
  }

  #reportMergeResult({ conflicts, manualChanges }: MergeResult): void {
    for (const { path, value } of manualChanges) {
      this.report(
        `kept manual change: ${path.join(".")} = ${JSON.stringify(value)}`,
      );
    }
    if (this.prefer !== undefined) {
      conflicts.forEach(({ path }) =>
        this.report(
          `conflict resolved in favor of ${this.prefer}: ${path.join(".")}`,
        )
      );
    }
  }

  async #outputProposal(
    writer: ConfigurationWriter,
    basedOn: AcceptedState | undefined,
    proposal: ProposalFile,
  ): Promise<Result<CommandOutput, VError>> {
    const before = basedOn?.state.configuration ?? null;
    const differences = describeDifferences(before, proposal.configuration);
    if (this.output !== undefined) {
      await writeFile(this.output, `${JSON.stringify(proposal, null, 2)}\n`);
      this.report(`wrote ${this.output}`);
    }
    if (this.apply) {
      differences.forEach((line) => this.report(line));
      const { author, note } = this;
      const version = await this.submit(writer, proposal, {
        basedOn,
        author,
        note,
      });
      return version.isErr() ? err(version.error) : ok(
        await this.waitForActivation(version.value),
      );
    }
    const { baseVersion } = proposal;
    return ok({
      json: { ...proposal, differences },
      lines: [
        baseVersion === 0
          ? "first configuration:"
          : `changes compared with version ${baseVersion}:`,
        ...differences,
      ],
    });
  }
}

function createConflictError({ conflicts }: MergeResult): VError {
  const findings = conflicts.map(({ byAnswers, byHand, path }) =>
    `${path.join(".")} was ${
      byHand === null
        ? "removed manually"
        : `changed manually to ${JSON.stringify(byHand)}`
    }, the answers give ${
      byAnswers === null ? "none" : JSON.stringify(byAnswers)
    }`
  );
  return new VError(
    { name: "AnswersConflict", info: { findings, conflicts } },
    "%s; resolve with --prefer answers or --prefer hand",
    findings.join("; "),
  );
}
