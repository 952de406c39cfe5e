/**
 * Compression of whole states for the object API, whose values are bounded.
 */

import { Buffer } from "node:buffer";
import { gunzipSync, gzipSync } from "node:zlib";
import { err } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import { validateQuestionnaireAnswers } from "../generated/validators.ts";
import type { ConfigurationState } from "./configuration_state.ts";
import { validateConfigurationDocument } from "./validate_configuration_document.ts";

/** Largest state after decompression, in bytes. */
const MAX_STATE_BYTES = 16_777_216;

/**
 * Compresses a state into text.
 *
 * @param state - The state
 * @returns Base64 of its gzipped JSON
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
 * Restores and validates a compressed state.
 *
 * @param text - What {@link compressState} gave
 * @returns The state, or an error that names what is wrong
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
        "the stored state cannot be read",
      ),
    );
  }
  const answers = value.answers ?? null;
  return validateConfigurationDocument(value.configuration).map(
    (configuration) => ({
      configuration,
      answers: validateQuestionnaireAnswers(answers) ? answers : null,
    }),
  );
}
