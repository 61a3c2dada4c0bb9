/**
 * Messages between the system's own processes: one discriminated union per direction.
 * Times are remaining milliseconds, never clock readings, since clocks of two machines
 * differ. Offsets count UTF-16 code units of answer text.
 */
import type { ResultCode } from '@lapisbridge/errors';
import type { LoadReport, OperationKind, Ran } from '@lapisbridge/types';

export const PROTOCOL_VERSION = 1;

export enum MessageKind {
  Hello,
  Heartbeat,
  Goodbye,
  StateRequest,
  StateReply,
  DraftStart,
  CallStart,
  Credit,
  Cancel,
  Detach,
  Resume,
  KeyQuery,
  Refused,
  Chunk,
  End,
  CallAnswer,
  Failed,
  KeyAnswer,
  RankOrder,
  RankReply,
  ExplainRequest,
  ExplainReply,
}

export interface Hello {
  readonly kind: MessageKind.Hello;
  readonly protocolVersion: number;
  readonly instanceId: string;
  readonly environment: string;
  readonly availabilityZone: string;
  /** Sent by a sidecar only. */
  readonly load?: LoadReport;
}

/** Keeps a connection proved alive and carries the digest of the shared state. */
export interface Heartbeat {
  readonly kind: MessageKind.Heartbeat;
  readonly stateDigest: string;
  readonly load?: LoadReport;
}

/** The sender is about to exit: peers stop choosing it at once. */
export interface Goodbye {
  readonly kind: MessageKind.Goodbye;
}

export interface StateRequest {
  readonly kind: MessageKind.StateRequest;
}

/** The sender's whole shared state as deflated JSON text; the receiver merges it. */
export interface StateReply {
  readonly kind: MessageKind.StateReply;
  readonly state: Uint8Array;
}

/** Names one attempt at one request; late frames of an older attempt are dropped by it. */
export interface AttemptId {
  readonly requestId: string;
  readonly attempt: number;
}

/** Starts a draft on a model runner. `deliveredText` is what earlier attempts already gave the caller. */
export interface DraftStart extends AttemptId {
  readonly kind: MessageKind.DraftStart;
  readonly entryId: string;
  readonly account: string;
  readonly model: string;
  readonly remainingMilliseconds: number;
  readonly estimatedTokens: number;
  readonly priority: number;
  readonly body: Uint8Array;
  readonly deliveredText: string;
  /** Tokens of `deliveredText`, counted against the caller's max_tokens. */
  readonly deliveredTokens: number;
  readonly credit: number;
}

/** Starts a call of a plain service's operation. */
export interface CallStart extends AttemptId {
  readonly kind: MessageKind.CallStart;
  readonly account: string;
  readonly service: string;
  readonly operation: OperationKind;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly remainingMilliseconds: number;
  readonly body: Uint8Array;
  /** Empty for idempotent operations. */
  readonly idempotencyKey: string;
  readonly digest: string;
  /** Version of the claim row that this attempt goes on from, 0 when it must be absent. */
  readonly claimVersion: number;
}

/** Lets the sidecar send that many more characters of an answer. */
export interface Credit extends AttemptId {
  readonly kind: MessageKind.Credit;
  readonly characters: number;
}

export interface Cancel extends AttemptId {
  readonly kind: MessageKind.Cancel;
}

/** The caller's connection broke; it may come back for the rest through any entry. */
export interface Detach extends AttemptId {
  readonly kind: MessageKind.Detach;
}

/** Asks for the rest of an answer that this sidecar holds, from an offset. */
export interface Resume extends AttemptId {
  readonly kind: MessageKind.Resume;
  readonly entryId: string;
  readonly account: string;
  readonly offset: number;
  readonly credit: number;
  /** The caller itself came back through this entry, which from now on owns the answer. */
  readonly takeOver: boolean;
}

/** Asks what the sidecar itself remembers of an at-most-once key; used while the store is down. */
export interface KeyQuery {
  readonly kind: MessageKind.KeyQuery;
  readonly queryId: number;
  readonly account: string;
  readonly idempotencyKey: string;
}

/** Nothing was dispatched for this attempt, and nothing will be. */
export interface Refused extends AttemptId {
  readonly kind: MessageKind.Refused;
  readonly code: ResultCode;
  readonly reason: string;
  readonly retryAfterMilliseconds: number;
  /** The claim row has moved on to this version; a new attempt may go on from there. */
  readonly claimVersion?: number;
  readonly load?: LoadReport;
}

export interface Chunk extends AttemptId {
  readonly kind: MessageKind.Chunk;
  readonly offset: number;
  readonly text: string;
  /** Tokens generated so far by all attempts together. */
  readonly tokens: number;
}

/** The answer is whole: `totalCharacters` counts what all attempts delivered together. */
export interface End extends AttemptId {
  readonly kind: MessageKind.End;
  readonly totalCharacters: number;
  readonly finishReason: string;
  readonly completionTokens: number;
  readonly load?: LoadReport;
}

export interface CallAnswer extends AttemptId {
  readonly kind: MessageKind.CallAnswer;
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly replayed: boolean;
  readonly load?: LoadReport;
}

/** The attempt ended without a whole answer. */
export interface Failed extends AttemptId {
  readonly kind: MessageKind.Failed;
  readonly code: ResultCode;
  readonly reason: string;
  readonly ran: Ran;
  readonly retryAfterMilliseconds: number;
  readonly load?: LoadReport;
}

export interface KeyAnswer {
  readonly kind: MessageKind.KeyAnswer;
  readonly queryId: number;
  readonly seen: boolean;
  /** Sidecar lives of the same service that were registered before or with this one. */
  readonly knownLives: readonly string[];
  /** This sidecar's own life: instance id and start. */
  readonly life: string;
}

/** An order of a group's leader to one rank's sidecar. */
export interface RankOrder {
  readonly kind: MessageKind.RankOrder;
  readonly orderId: number;
  readonly group: string;
  readonly step: string;
  readonly fencingNumber: number;
  readonly rollout: number;
  readonly mapVersion: number;
  /** The map as JSON text; empty but for the order to prepare. */
  readonly map: string;
}

export interface RankReply {
  readonly kind: MessageKind.RankReply;
  readonly orderId: number;
  readonly code: ResultCode;
  readonly activeVersion: number;
  readonly paused: boolean;
  /** Token counts and speed of the rank as JSON text; only in answer to a query. */
  readonly statistics: string;
}

/** Asks another entry for its decisions about one subject. */
export interface ExplainRequest {
  readonly kind: MessageKind.ExplainRequest;
  readonly subject: string;
}

/** Decision records as JSON text. */
export interface ExplainReply {
  readonly kind: MessageKind.ExplainReply;
  readonly decisions: string;
}

export type Message =
  | Hello
  | Heartbeat
  | Goodbye
  | StateRequest
  | StateReply
  | DraftStart
  | CallStart
  | Credit
  | Cancel
  | Detach
  | Resume
  | KeyQuery
  | Refused
  | Chunk
  | End
  | CallAnswer
  | Failed
  | KeyAnswer
  | RankOrder
  | RankReply
  | ExplainRequest
  | ExplainReply;
