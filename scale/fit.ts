import { linearRegression, linearRegressionLine, rSquared } from 'simple-statistics';

/** A straight line through measured points. */
export interface LineFit {
  /** Growth per unit of size. */
  slope: number;
  /** Value at size zero. */
  base: number;
  /** Share of the variation that the line explains, at most one. */
  rSquared: number;
  /** Largest distance of a point from the line. */
  residual: number;
  /** Size and value of each point. */
  points: [number, number][];
}

/**
 * Fits a line to measured points by least squares.
 *
 * @param points Sizes and values, at least three.
 * @returns The fitted line.
 */
export function fitLine(points: [number, number][]): LineFit {
  const { m: slope, b: base } = linearRegression(points);
  const line = linearRegressionLine({ m: slope, b: base });
  const residual = Math.max(...points.map(([size, value]) => Math.abs(value - line(size))));
  return { slope, base, rSquared: rSquared(points, line), residual, points };
}

/**
 * Fits a power law to measured points.
 *
 * @param points Sizes and values, all above zero.
 * @returns Exponent with which the values grow with the size.
 */
export function fitGrowthExponent(points: [number, number][]): number {
  return linearRegression(points.map(([size, value]) => [Math.log(size), Math.log(value)])).m;
}

/**
 * Evaluates a line at a size.
 *
 * @param fit The line.
 * @param size The size.
 * @returns Value of the line at that size.
 */
export function evaluateLine({ slope, base }: LineFit, size: number): number {
  return base + slope * size;
}
