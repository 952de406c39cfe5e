/**
 * What the object API keeps: a configuration with the answers that gave it.
 */

import type {
  Configuration,
  QuestionnaireAnswers,
} from "../generated/types.ts";

/** A configuration and the answers it was generated from, if any. */
export interface ConfigurationState {
  readonly configuration: Configuration;
  readonly answers: QuestionnaireAnswers | null;
}

/** A state with the version that accepted it. */
export interface VersionedState extends ConfigurationState {
  readonly version: number;
}
