/**
 * A statement of a backend server that stands, as metrics tell of it.
 */
export interface ActiveStatement {
  readonly instanceId: string;
  /** Since the server first stated it. */
  readonly ageMilliseconds: number;
}
