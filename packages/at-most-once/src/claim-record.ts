/**
 * The claim row of an at-most-once call: which sidecar may dispatch it, and its outcome. The
 * row's key contains the environment, the client account and the caller's idempotency key.
 */

export enum ClaimState {
  /** The owner may dispatch the call, or has dispatched it and not yet stored the result. */
  Claimed = 'claimed',
  /** The call was dispatched and its response was lost: it may or may not have run. */
  InDoubt = 'inDoubt',
  Done = 'done',
  /**
   * Proved not to have run. Each proof increments the row's version, and a claim must name the
   * version that it expects, so every attempt that began before the proof fails.
   */
  NotRun = 'notRun',
}

/** Response of the plain service. The body is base64-encoded. */
export interface StoredResult {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export interface ClaimRecord {
  readonly state: ClaimState;
  /** New for each write of a claim or proof, so that the writer can recognise its own record. */
  readonly nonce: string;
  /**
   * Digest of the operation and the body; a reused key with a different digest is refused.
   * Empty if the row was created by a status query, which has no body.
   */
  readonly digest: string;
  readonly attempt: string;
  readonly instanceId: string;
  readonly result?: StoredResult;
  /** Name of the object that holds a result too large for the row. */
  readonly resultObject?: string;
}

/** Table key of the claim row. */
export function claimKey(environment: string, account: string, idempotencyKey: string): string {
  return `claims/${environment}/${account}/${idempotencyKey}`;
}
