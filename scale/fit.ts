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
  /** The points: size and value. */
  points: [number, number][];
}

/**
 * @param points Sizes and values; three at least.
 * @returns The line that fits them best.
 */
export function fitLine(points: [number, number][]): LineFit {
  const { m: slope, b: base } = linearRegression(points);
  const line = linearRegressionLine({ m: slope, b: base });
  const residual = Math.max(...points.map(([size, value]) => Math.abs(value - line(size))));
  return { slope, base, rSquared: rSquared(points, line), residual, points };
}

/**
 * @param points Sizes and values, all above zero.
 * @returns The exponent with which the values grow.
 */
export function fitGrowthExponent(points: [number, number][]): number {
  return linearRegression(points.map(([size, value]) => [Math.log(size), Math.log(value)])).m;
}

/**
 * @param fit A line.
 * @param size A size.
 * @returns The line's value there.
 */
export function evaluateLine({ slope, base }: LineFit, size: number): number {
  return base + slope * size;
}
