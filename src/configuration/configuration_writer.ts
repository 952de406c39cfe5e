/**
 * Writes configurations with optimistic concurrency control.
 *
 * A write is conditional on the version that the operator read. When its outcome
 * is unknown, the writer reads the history back to determine it and reports
 * explicitly if it cannot.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import type {
  ConfigurationChange,
  ConfigurationHead,
} from "../generated/types.ts";
import { validateConfigurationHead } from "../generated/validators.ts";
import { Backoff, NO_VERSION } from "../store/mod.ts";
import type { ObjectStore, StoreFailure } from "../store/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import { canonicalizeNamedLists } from "./canonicalize_named_lists.ts";
import { ConfigurationHistory } from "./configuration_history.ts";
import { CONFIGURATION_KEY } from "./configuration_objects.ts";
import { ConfigurationReader } from "./configuration_reader.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import { createFirstHead, createNextHead } from "./create_head.ts";
import type { AcceptedState } from "./create_head.ts";
import { ensureBase } from "./ensure_base.ts";
import { validateConfigurationDocument } from "./validate_configuration_document.ts";

/** A change submitted by an operator. */
export interface ConfigurationProposal {
  readonly state: ConfigurationState;
  /** Unique id of this proposal. */
  readonly changeId: string;
  readonly author: string;
  readonly note: string;
}

/** Dependencies of the writer. */
export interface ConfigurationWriterOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  /**
   * Time after which the writer stops trying to determine the outcome of a
   * write, in milliseconds.
   */
  readonly outcomeTimeoutMs: number;
}

/** Maximum number of conflicting changes listed in a conflict error. */
const MAX_LISTED_CHANGES = 1_024;

const RETRY_BACKOFF = { firstDelayMs: 100, maxDelayMs: 2_000 } as const;

/** Writes configurations and determines the outcome of each write. */
export class ConfigurationWriter {
  readonly reader: ConfigurationReader;
  readonly history: ConfigurationHistory;
  readonly #options: ConfigurationWriterOptions;

  constructor(options: ConfigurationWriterOptions) {
    this.#options = options;
    this.reader = new ConfigurationReader(options.store);
    this.history = new ConfigurationHistory(this.reader);
  }

  /** Reads the accepted state; undefined before the first configuration. */
  async readAccepted(): Promise<Result<AcceptedState | undefined, VError>> {
    const stored = await this.reader.readHead();
    if (stored.isErr()) {
      return err(stored.error);
    }
    if (!stored.value) {
      return ok(undefined);
    }
    const { head, storeVersion } = stored.value;
    const state = await this.reader.readState(head);
    return state.map((value) => ({ head, storeVersion, state: value }));
  }

  /**
   * Submits a change to the state it is based on; returns the version under which
   * it was accepted.
   *
   * Errors are `ConfigurationInvalid`, `ConfigurationConflict` (other changes were
   * accepted since; its info lists them), `StoreUnavailable` (nothing was written)
   * and `ConfigurationUnsettled` (the write may have taken effect).
   */
  async submit(
    proposal: ConfigurationProposal,
    basedOn: AcceptedState | undefined,
  ): Promise<Result<number, VError>> {
    const checked = validateConfigurationDocument(proposal.state.configuration);
    if (checked.isErr()) {
      return err(checked.error);
    }
    const state = {
      configuration: canonicalizeNamedLists(checked.value),
      answers: proposal.state.answers &&
        canonicalizeNamedLists(proposal.state.answers),
    };
    const prepared = { ...proposal, state, atMs: this.#options.clock.nowMs() };
    if (!basedOn) {
      return await this.#write(createFirstHead(prepared), undefined);
    }
    const base = await ensureBase(basedOn, {
      store: this.#options.store,
      reader: this.reader,
    });
    return base.isErr() ? err(base.error) : await this.#write(
      createNextHead(prepared, basedOn, base.value),
      basedOn,
    );
  }

  async #write(
    head: ConfigurationHead,
    basedOn: AcceptedState | undefined,
  ): Promise<Result<number, VError>> {
    const { clock, random, outcomeTimeoutMs, store } = this.#options;
    const expected = basedOn?.storeVersion ?? NO_VERSION;
    const deadlineMs = clock.monotonicMs() + outcomeTimeoutMs;
    const backoff = new Backoff(random, RETRY_BACKOFF);
    let mayHaveTakenEffect = false;
    do {
      const written = await store.write(CONFIGURATION_KEY, head, expected);
      if (written.isOk()) {
        return ok(head.version);
      }
      mayHaveTakenEffect ||= written.error.kind === "unsure";
      const outcome = await this.resolveOutcome(
        head,
        written.error,
        mayHaveTakenEffect,
      );
      if (outcome) {
        return outcome;
      }
      await clock.sleep(backoff.nextDelayMs());
    } while (clock.monotonicMs() < deadlineMs);
    return err(createUndeterminedError(head, mayHaveTakenEffect));
  }

  /**
   * Determines the outcome of a write from the store; undefined while it is unknown.
   * A write that has not taken effect can be retried unchanged: because it is
   * conditional, at most one of the attempts succeeds.
   */
  protected async resolveOutcome(
    head: ConfigurationHead,
    failure: StoreFailure,
    mayHaveTakenEffect: boolean,
  ): Promise<Result<number, VError> | undefined> {
    const current = failure.kind === "conflict"
      ? parseConflictingHead(failure)
      : await this.#readCurrentHead();
    if (!current || current.version < head.version) {
      return undefined;
    }
    const laterChanges = await this.history.listChanges(current, {
      aboveVersion: head.version - 1,
      limit: MAX_LISTED_CHANGES,
    });
    if (laterChanges.isErr()) {
      return undefined;
    }
    return classifyOutcome(head, laterChanges.value, mayHaveTakenEffect);
  }

  async #readCurrentHead(): Promise<ConfigurationHead | undefined> {
    const stored = await this.reader.readHead();
    return stored.isOk() ? stored.value?.head : undefined;
  }
}

function parseConflictingHead(
  failure: StoreFailure,
): ConfigurationHead | undefined {
  const value = failure.current?.value;
  return validateConfigurationHead(value) ? value : undefined;
}

function classifyOutcome(
  head: ConfigurationHead,
  laterChanges: readonly ConfigurationChange[],
  mayHaveTakenEffect: boolean,
): Result<number, VError> {
  const submittedChange = head.changes.at(-1);
  const atVersion = laterChanges.find(({ version }) =>
    version === head.version
  );
  if (!atVersion) {
    return err(
      mayHaveTakenEffect
        ? createUndeterminedError(head, true)
        : createConflictError(laterChanges),
    );
  }
  return atVersion.changeId === submittedChange?.changeId
    ? ok(head.version)
    : err(createConflictError(laterChanges));
}

function createConflictError(
  changes: readonly ConfigurationChange[],
): VError {
  const listed = changes.map(({ version, author, note }) =>
    `version ${version} by ${author || "unknown"}${note ? ` (${note})` : ""}`
  );
  return new VError(
    { name: "ConfigurationConflict", info: { changes } },
    "the configuration was changed concurrently: %s",
    listed.join(", "),
  );
}

function createUndeterminedError(
  head: ConfigurationHead,
  mayHaveTakenEffect: boolean,
): VError {
  const changeId = head.changes.at(-1)?.changeId ?? "";
  return mayHaveTakenEffect
    ? new VError(
      { name: "ConfigurationUnsettled", info: { changeId } },
      "the write may have taken effect; look for change %s in the history",
      changeId,
    )
    : new VError(
      { name: "StoreUnavailable", info: { changeId } },
      "the object API is unavailable; nothing was written",
    );
}
