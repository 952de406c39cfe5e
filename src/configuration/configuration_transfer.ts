/**
 * What one daemon gives another: the missing patches, or the whole document.
 */

import { gunzipSync, gzipSync } from "node:zlib";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import type {
  Configuration,
  ConfigurationTransfer,
} from "../generated/types.ts";
import { validateConfigurationTransfer } from "../generated/validators.ts";
import { applyConfigurationPatches } from "./apply_change.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";
import type { DocumentPatch } from "./document_patch.ts";

/** Largest transfer after decompression, in bytes. */
const MAX_TRANSFER_BYTES = 16_777_216;

/** Asks for the whole document, whatever is known. */
export const FULL_DOCUMENT = 0;

/** A configuration that a transfer gave, with the patches that led to it. */
export interface TransferredConfiguration {
  readonly configuration: Configuration;
  readonly version: number;
  readonly patches: readonly DocumentPatch[];
}

/**
 * Creates the compressed transfer for a peer.
 *
 * @param holder - The own configuration
 * @param knownVersion - Version that the peer has
 * @returns Patches where they are kept, else the whole document
 *
 * @example
 * const bytes = createConfigurationTransfer(holder, message.knownVersion);
 */
export function createConfigurationTransfer(
  holder: ConfigurationHolder,
  knownVersion: number,
): Uint8Array {
  const { current, digest, version } = holder;
  const patches = knownVersion === FULL_DOCUMENT
    ? undefined
    : holder.listPatchesSince(knownVersion);
  const transfer: ConfigurationTransfer = {
    version,
    digest,
    patches: [...patches ?? []],
    ...patches || !current ? {} : { configuration: current.document },
  };
  return gzipSync(JSON.stringify(transfer));
}

/**
 * Reads a transfer against the configuration it was asked for with.
 *
 * @param bytes - What the peer sent
 * @param known - The configuration that the patches apply to
 * @returns The newer configuration, undefined where the peer has none, or an error
 *
 * @example
 * const received = readConfigurationTransfer(bytes, holder.current?.document);
 */
export function readConfigurationTransfer(
  bytes: Uint8Array,
  known: Configuration | undefined,
): Result<TransferredConfiguration | undefined, VError> {
  return decodeTransfer(bytes).andThen((transfer) => {
    const { configuration, digest, patches, version } = transfer;
    if (configuration) {
      return verifyDigest(configuration, digest).map((whole) => ({
        configuration: whole,
        version,
        patches: [],
      }));
    }
    if (!known || patches.length === 0) {
      return ok(undefined);
    }
    return applyConfigurationPatches(known, patches, digest).map((next) => ({
      configuration: next,
      version,
      patches,
    }));
  });
}

function verifyDigest(
  configuration: Configuration,
  digest: string,
): Result<Configuration, VError> {
  return applyConfigurationPatches(configuration, [], digest);
}

function decodeTransfer(
  bytes: Uint8Array,
): Result<ConfigurationTransfer, VError> {
  let value: unknown;
  try {
    const text = gunzipSync(bytes, { maxOutputLength: MAX_TRANSFER_BYTES });
    value = JSON.parse(text.toString("utf8"));
  } catch (cause) {
    return err(
      new VError(
        { name: "TransferCorrupt", cause: cause as Error },
        "the configuration transfer cannot be read",
      ),
    );
  }
  return validateConfigurationTransfer(value) ? ok(value) : err(
    new VError({ name: "TransferCorrupt" }, "the transfer is invalid"),
  );
}
