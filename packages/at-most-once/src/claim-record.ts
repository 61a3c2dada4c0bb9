/**
 * The claim row of one at-most-once call: who may dispatch it, and what came of it. Its key
 * is made of the client account and the caller's idempotency key.
 */

export enum ClaimState {
  /** Its owner may dispatch, or has dispatched and not yet stored the result. */
  Claimed = 'claimed',
  /** Dispatched, and the answer was lost: it may or may not have run. */
  InDoubt = 'inDoubt',
  Done = 'done',
  /**
   * Proved not to have run. Each proof raises the row's version, and a claim must name the
   * version it goes on from, so every attempt that was under way before the proof fails.
   */
  NotRun = 'notRun',
}

/** What the plain service answered; the body in base64. */
export interface StoredResult {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export interface ClaimRecord {
  readonly state: ClaimState;
  /** Chosen anew for each claim, so that its owner recognises its own write. */
  readonly nonce: string;
  /** Digest of operation and body: the same key with another body is refused. Empty when only asked about. */
  readonly digest: string;
  readonly attempt: string;
  readonly instanceId: string;
  readonly result?: StoredResult;
  /** Names the object that holds a result too large for a row. */
  readonly resultObject?: string;
}

export function claimKey(environment: string, account: string, idempotencyKey: string): string {
  return `claims/${environment}/${account}/${idempotencyKey}`;
}
