/**
 * Base class of the configuration commands: access to the object API, output as
 * text or JSON, and error output that lists all findings.
 */

import { randomUUID } from "node:crypto";
import process from "node:process";
import { Command, Option } from "clipanion";
import { err } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import { ConfigurationWriter } from "../configuration/mod.ts";
import type {
  AcceptedState,
  ConfigurationState,
} from "../configuration/mod.ts";
import { HttpObjectStore } from "../store/mod.ts";
import { RandomSource, SystemClock } from "../time/mod.ts";
import { chooseExitCode } from "./choose_exit_code.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import type { ExitCode } from "./exit_codes.ts";

/** Time after which the command stops trying to determine the outcome of a write, in milliseconds. */
const OUTCOME_TIMEOUT_MS = 30_000;

/** Output of a command; `json` is printed with `--json`, `lines` without. */
export interface CommandOutput {
  readonly json: Readonly<Record<string, unknown>>;
  readonly lines: readonly string[];
  /** Default: `EXIT_CODES.success`. */
  readonly exitCode?: ExitCode;
}

/** Base class of the configuration commands. */
export abstract class ConfigurationCommand extends Command {
  json = Option.Boolean("--json", false, {
    description: "Print one JSON object instead of text",
  });

  storeUrl = Option.String("--store-url", "http://127.0.0.1:7000", {
    env: "CELERYHOLLOW_STORE_URL",
    description: "Base URL of the platform's object API",
  });

  override async execute(): Promise<number> {
    const store = new HttpObjectStore(this.storeUrl);
    const writer = new ConfigurationWriter({
      store,
      clock: new SystemClock(),
      random: new RandomSource(0),
      outcomeTimeoutMs: OUTCOME_TIMEOUT_MS,
    });
    let output: Result<CommandOutput, VError>;
    try {
      output = await this.runWith(writer);
    } finally {
      await store.close();
    }
    return output.isOk()
      ? this.#printOutput(output.value)
      : this.#printError(output.error);
  }

  /** Runs the command. */
  protected abstract runWith(
    writer: ConfigurationWriter,
  ): Promise<Result<CommandOutput, VError>>;

  /** Prints a progress message to standard error. */
  protected report(line: string): void {
    this.context.stderr.write(`${line}\n`);
  }

  /**
   * Submits a state as a change with a new change id; returns the accepted version.
   * Errors are those of {@link ConfigurationWriter.submit}.
   */
  protected async submit(
    writer: ConfigurationWriter,
    state: ConfigurationState,
    change: {
      readonly basedOn: AcceptedState | undefined;
      readonly author: string | undefined;
      readonly note: string | undefined;
    },
  ): Promise<Result<number, VError>> {
    this.report("writing the change to the object API");
    const { author, note, basedOn } = change;
    return await writer.submit({
      state,
      changeId: randomUUID(),
      author: author ?? process.env.USER ?? "",
      note: note ?? "",
    }, basedOn);
  }

  #printOutput({ exitCode, json, lines }: CommandOutput): number {
    const text = this.json ? JSON.stringify(json) : lines.join("\n");
    this.context.stdout.write(text === "" ? "" : `${text}\n`);
    return exitCode ?? EXIT_CODES.success;
  }

  #printError(error: VError): number {
    const info = VError.info(error);
    if (this.json) {
      const { message, name } = error;
      this.context.stdout.write(
        `${JSON.stringify({ error: { name, message, ...info } })}\n`,
      );
    }
    const findings = info.findings as readonly string[] | undefined;
    const lines = findings && findings.length > 1
      ? [
        `${findings.length} findings:`,
        ...findings.map((line) => `  - ${line}`),
      ]
      : [error.message];
    this.context.stderr.write(`celeryhollow: ${lines.join("\n")}\n`);
    return chooseExitCode(error);
  }
}

/**
 * Reads the accepted state and fails if there is none.
 *
 * @param writer - Writer that reads the accepted state
 * @returns The accepted state, or an error, `ConfigurationMissing` if no configuration
 *   has been accepted yet
 *
 * @example
 * const accepted = await requireAcceptedState(writer);
 */
export async function requireAcceptedState(
  writer: ConfigurationWriter,
): Promise<Result<AcceptedState, VError>> {
  const accepted = await writer.readAccepted();
  return accepted.andThen((value) =>
    value === undefined
      ? err(
        new VError(
          { name: "ConfigurationMissing" },
          "no configuration has been accepted yet; create one with `celeryhollow init`",
        ),
      )
      : accepted as Result<AcceptedState, VError>
  );
}
