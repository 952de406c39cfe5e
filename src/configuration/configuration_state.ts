/**
 * The stored state: a configuration with the answers it was generated from.
 */

import type {
  Configuration,
  QuestionnaireAnswers,
} from "../generated/types.ts";

/** A configuration and the questionnaire answers it was generated from, if any. */
export interface ConfigurationState {
  readonly configuration: Configuration;
  readonly answers: QuestionnaireAnswers | null;
}

/** A state with the version under which it was accepted. */
export interface VersionedState extends ConfigurationState {
  readonly version: number;
  /** What the reader adjusted in the stored document, if anything. */
  readonly warnings?: readonly string[];
}
