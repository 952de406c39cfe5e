/**
 * Linear regression over measured points.
 */

/** Measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** Fitted line with its goodness of fit. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Largest absolute residual, relative to the largest absolute y value. */
  readonly residualRatio: number;
}

/**
 * Fits a line by ordinary least squares.
 *
 * @param points - Points with at least two different x values
 * @returns The fitted line
 *
 * @example
 * const { slope, intercept } = fitLine([{ x: 0, y: 1 }, { x: 2, y: 5 }]);
 */
export function fitLine(points: readonly Point[]): Line {
  const meanX = average(points.map(({ x }) => x));
  const meanY = average(points.map(({ y }) => y));
  const covariance = average(
    points.map(({ x, y }) => (x - meanX) * (y - meanY)),
  );
  const variance = average(points.map(({ x }) => (x - meanX) ** 2));
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const largest = Math.max(...points.map(({ y }) => Math.abs(y)));
  const farthest = Math.max(
    ...points.map(({ x, y }) => Math.abs(y - intercept - slope * x)),
  );
  return {
    slope,
    intercept,
    residualRatio: largest === 0 ? 0 : farthest / largest,
  };
}

function average(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
