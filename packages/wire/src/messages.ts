/**
 * Messages between the system's processes, as one discriminated union. Times are remaining
 * milliseconds, never timestamps, because the clocks of two machines differ. Offsets count
 * UTF-16 code units of the response text.
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

/** Shows that the connection is alive and carries the digest of the shared state. */
export interface Heartbeat {
  readonly kind: MessageKind.Heartbeat;
  readonly stateDigest: string;
  readonly load?: LoadReport;
}

/** The sender is about to exit; peers stop selecting it at once. */
export interface Goodbye {
  readonly kind: MessageKind.Goodbye;
}

export interface StateRequest {
  readonly kind: MessageKind.StateRequest;
}

/** The sender's complete shared state as deflated JSON; the receiver merges it. */
export interface StateReply {
  readonly kind: MessageKind.StateReply;
  readonly state: Uint8Array;
}

/** Identifies one attempt of a request, so that late frames of an older attempt are dropped. */
export interface AttemptId {
  readonly requestId: string;
  readonly attempt: number;
}

/** Starts a draft on a model runner. `deliveredText` was already sent by earlier attempts. */
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
  /** Version of the claim row that this attempt expects; 0 if the row must not exist. */
  readonly claimVersion: number;
}

/** Flow control: permits the sidecar to send this many more characters of the response. */
export interface Credit extends AttemptId {
  readonly kind: MessageKind.Credit;
  readonly characters: number;
}

export interface Cancel extends AttemptId {
  readonly kind: MessageKind.Cancel;
}

/** The caller's connection broke; the caller may resume the response through any entry. */
export interface Detach extends AttemptId {
  readonly kind: MessageKind.Detach;
}

/** Requests the rest of a response that this sidecar holds, from an offset. */
export interface Resume extends AttemptId {
  readonly kind: MessageKind.Resume;
  readonly entryId: string;
  readonly account: string;
  readonly offset: number;
  readonly credit: number;
  /** The caller reconnected through this entry, which owns the response from now on. */
  readonly takeOver: boolean;
}

/** Asks whether the sidecar has seen an idempotency key; used while the table is unavailable. */
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
  /** Current version of the claim row, which a new attempt must expect. */
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

/** The response is complete; `totalCharacters` counts the text delivered by all attempts. */
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

/** The attempt ended without a complete response. */
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
  /** Lives of the service's sidecars that were registered before or with this one. */
  readonly knownLives: readonly string[];
  /** This sidecar's own life: one run of its process, as instance id and start. */
  readonly life: string;
}

/** A command from a group's leader to the sidecar of one rank. */
export interface RankOrder {
  readonly kind: MessageKind.RankOrder;
  readonly orderId: number;
  readonly group: string;
  readonly step: string;
  readonly fencingNumber: number;
  readonly rollout: number;
  readonly mapVersion: number;
  /** The map as JSON; empty except in the command to prepare. */
  readonly map: string;
}

export interface RankReply {
  readonly kind: MessageKind.RankReply;
  readonly orderId: number;
  readonly code: ResultCode;
  readonly activeVersion: number;
  readonly paused: boolean;
  /** Token counts and speed of the rank as JSON; only in the reply to a query. */
  readonly statistics: string;
}

/** Requests another entry's decisions about one subject. */
export interface ExplainRequest {
  readonly kind: MessageKind.ExplainRequest;
  readonly subject: string;
}

/** Decision records as JSON. */
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
