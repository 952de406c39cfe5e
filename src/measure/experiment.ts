/**
 * Interface of experiments and the type of their results.
 */

/** Row of the result table; the keys are the column headings. */
export type TableRow = Readonly<Record<string, string | number>>;

/** Data point of a plot. */
export interface PlotPoint {
  readonly x: number;
  readonly y: number;
  /** Name of the line that the point belongs to. */
  readonly line: string;
}

/** Line chart with one or more lines over a common x axis. */
export interface Plot {
  readonly title: string;
  readonly xTitle: string;
  readonly yTitle: string;
  readonly points: readonly PlotPoint[];
  /** Value of x with a vertical marker, such as the design size. */
  readonly markedX?: number;
}

/** Result of an experiment. */
export interface ExperimentResult {
  readonly rows: readonly TableRow[];
  /** Metrics, printed as one JSON object on the last line of output. */
  readonly fields: Readonly<Record<string, unknown>>;
  /** Plots for the HTML report. */
  readonly plots?: readonly Plot[];
}

/** Experiment; each module in `experiments/` exports one as `experiment`. */
export interface Experiment {
  readonly description: string;
  run(): Promise<ExperimentResult>;
}
