/**
 * Port between the forwarding core and a protocol adapter, which decodes callers' requests, builds
 * the headers sent to a backend server, and decodes the heads of backend servers' responses. Wire
 * names stay in the adapter.
 */
import type { IncomingMessage } from 'node:http';

import type { BackendServer, ClientAccount } from '@lapisbridge/catalog';
import type { OutputHint } from '@lapisbridge/work-estimate';

/** A caller's request without its body. Headers are raw pairs: name, value, name, value. */
export interface CallerRequest {
  /** Id of this attempt by the caller; undefined when it sent none. */
  readonly requestId: string | undefined;
  readonly method: string;
  /** Host without a port, in lower case. */
  readonly host: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly key: string | undefined;
  /** How long the caller waits, from the arrival of the request; undefined when unstated. */
  readonly callerTimeoutMilliseconds: number | undefined;
  /** Id of the last event that the caller received of the stream it resumes. */
  readonly lastEventId: number | undefined;
  readonly promptTokens: number;
  /** What the caller states of the length of the answer. */
  readonly outputHint: OutputHint;
  /** Ids of the parts of the prompt, in order; the last one belongs to this request alone. */
  readonly promptParts: readonly string[];
  readonly headers: readonly string[];
}

export interface ForwardHeadersInput {
  readonly request: CallerRequest;
  readonly server: BackendServer;
  readonly account: ClientAccount | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly remainingMilliseconds: number;
  readonly lastEventId: number | undefined;
  readonly bodyBytes: number;
}

/** Load that a backend server reports with a response. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
}

export enum RateLimitKind {
  /** The server states no limit. */
  None = 'none',
  Stated = 'stated',
  /** The stated value is not a number; the limit known so far stays in force. */
  Malformed = 'unreadable',
}

/** Rate limit that a backend server states for the requests of all entries together. */
export type StatedRateLimit =
  | { readonly kind: RateLimitKind.None }
  | { readonly kind: RateLimitKind.Stated; readonly requestsPerSecond: number }
  | { readonly kind: RateLimitKind.Malformed };

export enum RetryAfterKind {
  /** The server states nothing. */
  None = 'none',
  Stated = 'stated',
  /** The stated value is not a number of seconds. */
  Malformed = 'unreadable',
}

/** How long a backend server asks this entry to send it no further requests. */
export type StatedRetryAfter =
  | { readonly kind: RetryAfterKind.None }
  | { readonly kind: RetryAfterKind.Stated; readonly milliseconds: number }
  | { readonly kind: RetryAfterKind.Malformed };

export interface ResponseHead {
  readonly status: number;
  readonly requestId: string | undefined;
  /** The response carries the signature of the backend server. */
  readonly isSigned: boolean;
  /** The backend server states that it did not run the request. */
  readonly notRun: boolean;
  /** The address now belongs to another backend server. */
  readonly isMisdirected: boolean;
  /** With a refusal: address (`host:port`) of the failed server, itself or one it depends on. */
  readonly faultyAddress: string | undefined;
  readonly load: ReportedLoad | undefined;
  readonly rateLimit: StatedRateLimit;
  readonly retryAfter: StatedRetryAfter;
  /** The backend server accepts no new requests and will shut down. */
  readonly isLeaving: boolean;
  /** End-to-end headers as raw pairs. */
  readonly headers: readonly string[];
}

export interface CallerProtocol {
  decodeRequest(incoming: IncomingMessage): CallerRequest;
  /** Headers of a request to a backend server, as raw pairs. */
  encodeForwardHeaders(input: ForwardHeadersInput): string[];
  decodeResponseHead(incoming: IncomingMessage): ResponseHead;
  /** Headers of a response that this entry generates itself, as raw pairs. */
  encodeLocalReplyHeaders(
    requestId: string | undefined,
    retryAfterMilliseconds: number | undefined,
  ): string[];
}
