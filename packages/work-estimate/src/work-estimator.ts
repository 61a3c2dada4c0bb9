/**
 * Port for estimates of a request's work. Clients' hints are right at the median and often far off,
 * so a hint alone is never trusted.
 */

export interface OutputHint {
  /** Output tokens that the client expects; undefined when it states none. */
  readonly expectedTokens: number | undefined;
  /** Most output tokens; undefined when the client states none. */
  readonly maximumTokens: number | undefined;
}

export interface WorkEstimate {
  readonly outputTokens: number;
  /** Factor within which four fifths of the route's recent estimates were right; 1 or more. */
  readonly errorFactor: number;
}

export interface WorkEstimator {
  estimate(route: string, hint: OutputHint): WorkEstimate;
  /** Records the output of a complete answer. */
  recordAnswer(route: string, hint: OutputHint, outputTokens: number): void;
  /** Number of routes whose answers are remembered. */
  routeCount(): number;
}
