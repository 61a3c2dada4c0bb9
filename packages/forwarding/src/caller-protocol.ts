/**
 * What the forwarding core asks of an adapter: to read a caller's request, to name the headers
 * that go to a backend server, and to read what a backend server says of itself. Names on the
 * wire stay behind this port.
 */
import type { IncomingMessage } from 'node:http';

import type { BackendServer, ClientAccount } from '@lapisbridge/catalog';

/** A caller's request without its body. Headers are raw pairs: name, value, name, value. */
export interface CallerRequest {
  /** Id of this attempt of the caller; undefined when it sent none. */
  readonly requestId: string | undefined;
  readonly method: string;
  /** Host without a port, in lower case. */
  readonly host: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly key: string | undefined;
  /** How long the caller will wait, from the arrival of the request. */
  readonly callerTimeoutMilliseconds: number | undefined;
  /** Last event the caller already has of a stream that it goes on with. */
  readonly lastEventId: number | undefined;
  readonly promptTokens: number;
  readonly headers: readonly string[];
}

export interface ForwardHeadersInput {
  readonly request: CallerRequest;
  readonly server: BackendServer;
  readonly account: ClientAccount | undefined;
  /** 0 is served first. */
  readonly priority: number;
  readonly remainingMilliseconds: number;
  readonly lastEventId: number | undefined;
  readonly bodyBytes: number;
}

/** What a backend server tells of its load with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
}

export enum RateLimitKind {
  /** The server states no limit. */
  None = 'none',
  Stated = 'stated',
  /** It states something that is no number: what is known of its limit stands. */
  Malformed = 'unreadable',
}

/** What a backend server states of the requests that it takes from all entries together. */
export type StatedRateLimit =
  | { readonly kind: RateLimitKind.None }
  | { readonly kind: RateLimitKind.Stated; readonly requestsPerSecond: number }
  | { readonly kind: RateLimitKind.Malformed };

export enum RetryAfterKind {
  /** The server states nothing. */
  None = 'none',
  Stated = 'stated',
  /** It states something that is no number of seconds. */
  Malformed = 'unreadable',
}

/** For how long a backend server wants no further request from this entry. */
export type StatedRetryAfter =
  | { readonly kind: RetryAfterKind.None }
  | { readonly kind: RetryAfterKind.Stated; readonly milliseconds: number }
  | { readonly kind: RetryAfterKind.Malformed };

export interface ResponseHead {
  readonly status: number;
  readonly requestId: string | undefined;
  /** The backend server vouches for the answer. */
  readonly isSigned: boolean;
  /** The backend server states that it did not run the request. */
  readonly notRun: boolean;
  /** Another backend server has the address now. */
  readonly isMisdirected: boolean;
  /** With a refusal: address (`host:port`) of the server at fault, itself or one it depends on. */
  readonly faultyAddress: string | undefined;
  readonly load: ReportedLoad | undefined;
  readonly rateLimit: StatedRateLimit;
  readonly retryAfter: StatedRetryAfter;
  /** The backend server takes no new work, and will end. */
  readonly isLeaving: boolean;
  /** End-to-end headers as raw pairs. */
  readonly headers: readonly string[];
}

export interface CallerProtocol {
  decodeRequest(incoming: IncomingMessage): CallerRequest;
  /** Raw header pairs for a backend server. */
  encodeForwardHeaders(input: ForwardHeadersInput): string[];
  decodeResponseHead(incoming: IncomingMessage): ResponseHead;
  /** Headers of an answer of our own. */
  encodeLocalReplyHeaders(
    requestId: string | undefined,
    retryAfterMilliseconds: number | undefined,
  ): string[];
}
