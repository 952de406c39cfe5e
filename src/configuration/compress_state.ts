/**
 * Compression of full configuration states, because the object API limits the
 * size of a value.
 */

import { Buffer } from "node:buffer";
import { gunzipSync, gzipSync } from "node:zlib";
import { err } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import { validateQuestionnaireAnswers } from "../generated/validators.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import { readConfigurationDocument } from "./read_configuration_document.ts";

/** Maximum size of a decompressed state, in bytes. */
const MAX_STATE_BYTES = 16_777_216;

/**
 * Compresses a state to base64 text.
 *
 * @param state - The state to compress
 * @returns The gzipped JSON of the state, in base64
 *
 * @example
 * const text = compressState({ configuration, answers: null });
 */
export function compressState(state: ConfigurationState): string {
  const { configuration, answers } = state;
  return gzipSync(JSON.stringify({ configuration, answers }))
    .toString("base64");
}

/**
 * Decompresses and validates a state.
 *
 * @param text - Result of {@link compressState}
 * @returns The state, `ConfigurationCorrupt` if it cannot be decoded, or
 *   `ConfigurationInvalid` if the configuration fails validation
 *
 * @example
 * const state = decompressState(base.state);
 */
export function decompressState(
  text: string,
): Result<ConfigurationState, VError> {
  let value: { configuration?: unknown; answers?: unknown };
  try {
    const bytes = gunzipSync(Buffer.from(text, "base64"), {
      maxOutputLength: MAX_STATE_BYTES,
    });
    value = JSON.parse(bytes.toString("utf8"));
  } catch (cause) {
    return err(
      new VError(
        { name: "ConfigurationCorrupt", cause: cause as Error },
        "the stored state cannot be decompressed or parsed",
      ),
    );
  }
  const answers = value.answers ?? null;
  return readConfigurationDocument(value.configuration).map(
    (configuration) => ({
      configuration,
      answers: validateQuestionnaireAnswers(answers) ? answers : null,
    }),
  );
}
