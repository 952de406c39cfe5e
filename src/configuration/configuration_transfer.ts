/**
 * Transfer of a configuration between two daemons, as the missing patches or the
 * full document.
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
import { applyConfigurationPatches } from "./apply_patches.ts";
import type { CompiledConfiguration } from "./compiled_configuration.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";
import type { DocumentPatch } from "./document_patch.ts";

/** Maximum size of a decompressed transfer, in bytes. */
const MAX_TRANSFER_BYTES = 16_777_216;

/** Known version with which a peer requests the full document. */
export const FULL_DOCUMENT = 0;

/**
 * Transfers of full documents, which several peers fetch after a change. One with
 * 10,000 routes takes 160 ms to serialize and compress.
 */
const fullTransfers = new WeakMap<CompiledConfiguration, Uint8Array>();

/** A configuration received in a transfer, with the patches that led to it. */
export interface TransferredConfiguration {
  readonly configuration: Configuration;
  readonly version: number;
  readonly patches: readonly DocumentPatch[];
  /** What was adjusted when the document was read, if anything. */
  readonly warnings?: readonly string[];
}

/**
 * Creates the compressed transfer that answers a peer's fetch.
 *
 * @param holder - The local configuration
 * @param knownVersion - Active version of the peer
 * @returns Gzipped JSON with the patches if they are retained, else with the full document
 *
 * @example
 * const bytes = createConfigurationTransfer(holder, message.knownVersion);
 */
export function createConfigurationTransfer(
  holder: ConfigurationHolder,
  knownVersion: number,
): Uint8Array {
  const { current } = holder;
  const patches = knownVersion === FULL_DOCUMENT
    ? undefined
    : holder.listPatchesSince(knownVersion);
  if (patches || !current) {
    return compressTransfer(holder, { patches: [...patches ?? []] });
  }
  const known = fullTransfers.get(current);
  if (known) {
    return known;
  }
  const full = compressTransfer(holder, {
    patches: [],
    configuration: current.document,
  });
  fullTransfers.set(current, full);
  return full;
}

function compressTransfer(
  { digest, version }: ConfigurationHolder,
  content: Pick<ConfigurationTransfer, "patches" | "configuration">,
): Uint8Array {
  const transfer: ConfigurationTransfer = { version, digest, ...content };
  return gzipSync(JSON.stringify(transfer));
}

/**
 * Decodes a transfer and applies it to the known configuration.
 *
 * @param bytes - Gzipped JSON from the peer
 * @param known - The configuration that the patches apply to
 * @returns The newer configuration, undefined if the peer has none, `TransferCorrupt`, or
 *   the error of validating the result
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
      return verifyDigest(configuration, digest).map((verified) => ({
        configuration: verified,
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
        "the configuration transfer cannot be decompressed or parsed",
      ),
    );
  }
  return validateConfigurationTransfer(value) ? ok(value) : err(
    new VError(
      { name: "TransferCorrupt" },
      "the configuration transfer does not match its schema",
    ),
  );
}
