/**
 * What an experiment is and gives.
 */

/** One row of the table for people. */
export type TableRow = Readonly<Record<string, string | number>>;

/** One point of a plot. */
export interface PlotPoint {
  readonly x: number;
  readonly y: number;
  /** Line that the point belongs to. */
  readonly line: string;
}

/** Lines over a common axis. */
export interface Plot {
  readonly title: string;
  readonly xTitle: string;
  readonly yTitle: string;
  readonly points: readonly PlotPoint[];
  /** Value of x that is marked, such as the size that is designed for. */
  readonly markedX?: number;
}

/** What an experiment found. */
export interface ExperimentResult {
  readonly rows: readonly TableRow[];
  /** Printed as one JSON object in the last line. */
  readonly fields: Readonly<Record<string, unknown>>;
  /** Plots for the report. */
  readonly plots?: readonly Plot[];
}

/** An experiment; each file in `experiments/` exports one under this name. */
export interface Experiment {
  readonly description: string;
  run(): Promise<ExperimentResult>;
}
