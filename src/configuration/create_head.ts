/**
 * Creates the head objects whose write accepts a change.
 */

import { Buffer } from "node:buffer";
import type {
  ConfigurationChange,
  ConfigurationHead,
} from "../generated/types.ts";
import { compressState } from "./compress_state.ts";
import { MAX_HEAD_CHANGES, MAX_PATCH_BYTES } from "./configuration_objects.ts";
import type {
  ConfigurationState,
  VersionedState,
} from "./configuration_state.ts";
import { digestConfiguration } from "./digest_configuration.ts";
import { createDocumentPatch } from "./document_patch.ts";
import type { BaseReference } from "./ensure_base.ts";
import type { StoreVersion } from "../store/mod.ts";

/** The accepted state in the object API. */
export interface AcceptedState {
  readonly storeVersion: StoreVersion;
  readonly head: ConfigurationHead;
  readonly state: VersionedState;
}

/** A change whose state is validated and in canonical order. */
export interface PreparedChange {
  readonly state: ConfigurationState;
  readonly changeId: string;
  readonly author: string;
  readonly note: string;
  readonly atMs: number;
}

/**
 * Creates the head of the first configuration.
 *
 * @param change - The first change
 * @returns The head, with the full state inline
 *
 * @example
 * const head = createFirstHead(change);
 */
export function createFirstHead(change: PreparedChange): ConfigurationHead {
  return {
    version: 1,
    baseNumber: 0,
    baseVersion: 0,
    inlineState: compressState(change.state),
    changes: [createChangeRecord(change, 1)],
  };
}

/**
 * Creates the head that follows an accepted one.
 *
 * @param change - The change to record
 * @param accepted - The accepted state that it changes
 * @param base - The base that the new head refers to
 * @returns The head, with the full state inline if the patch is too large
 *
 * @example
 * const head = createNextHead(change, accepted, base);
 */
export function createNextHead(
  change: PreparedChange,
  accepted: AcceptedState,
  base: BaseReference,
): ConfigurationHead {
  const version = accepted.head.version + 1;
  const { configuration, answers } = accepted.state;
  const patches = {
    patch: createDocumentPatch(configuration, change.state.configuration),
    answersPatch: createDocumentPatch(answers, change.state.answers),
  };
  const isSmall = Buffer.byteLength(JSON.stringify(patches)) <= MAX_PATCH_BYTES;
  const described = createChangeRecord(change, version);
  const changes = [
    ...accepted.head.changes,
    isSmall ? { ...described, ...patches } : described,
  ];
  return {
    version,
    ...base,
    inlineState: isSmall ? "" : compressState(change.state),
    changes: changes.slice(-MAX_HEAD_CHANGES),
  };
}

function createChangeRecord(
  { changeId, author, note, atMs, state }: PreparedChange,
  version: number,
): ConfigurationChange {
  const digest = digestConfiguration(state.configuration);
  return { version, changeId, author, atMs, note, digest };
}
