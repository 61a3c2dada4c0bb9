/**
 * A statement of a backend server that currently applies, as exposed in metrics.
 */
export interface ActiveStatement {
  readonly instanceId: string;
  /** Time since the server first made the statement. */
  readonly ageMilliseconds: number;
}
