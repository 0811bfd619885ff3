/** Least-squares lines through measured points, with their error. */

/** A fitted line `intercept + slope * x`. */
export interface LinearFit {
  readonly intercept: number;
  readonly slope: number;
  /** Root of the mean squared residual, in units of y. */
  readonly residual: number;
  /** Share of the variance of y that the line explains, 0–1; null for fewer than three points. */
  readonly rSquared: number | null;
  readonly points: number;
}

/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** Fits a line; needs two points with different x. */
export function fitLine(points: readonly Point[]): LinearFit {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const varianceX = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const varianceY = points.reduce((sum, { y }) => sum + (y - meanY) ** 2, 0);
  if (varianceX === 0) throw new RangeError('a line needs points with different x');
  const slope = covariance / varianceX;
  const intercept = meanY - slope * meanX;
  const squares = points.reduce((sum, { x, y }) => sum + (y - intercept - slope * x) ** 2, 0);
  return {
    intercept,
    slope,
    residual: Math.sqrt(squares / count),
    rSquared: count < 3 || varianceY === 0 ? null : 1 - squares / varianceY,
    points: count,
  };
}

/** Value of the line at `x`. */
export function valueAt(fit: LinearFit, x: number): number {
  return fit.intercept + fit.slope * x;
}
