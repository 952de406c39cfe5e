/**
 * What an experiment is and gives.
 */

/** One row of the table for people. */
export type TableRow = Readonly<Record<string, string | number>>;

/** What an experiment found. */
export interface ExperimentResult {
  readonly rows: readonly TableRow[];
  /** Printed as one JSON object in the last line. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** An experiment; each file in `experiments/` exports one under this name. */
export interface Experiment {
  readonly description: string;
  run(): Promise<ExperimentResult>;
}
