/**
 * Calls the plain service behind this sidecar, once. Nothing here repeats a call: whether a
 * repetition is allowed is decided elsewhere, with the claim in hand.
 */
import type { IncomingMessage } from 'node:http';

import { ExchangeEndKind, openExchange } from '@lapisbridge/forwarding';
import type { ExchangeEnd } from '@lapisbridge/forwarding';

import { retryAfterOf } from './retry-after-of.js';

export interface ServiceCall {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly account: string;
  readonly idempotencyKey: string;
  readonly body: Uint8Array;
  readonly timeoutMilliseconds: number;
}

export enum ServiceOutcomeKind {
  Answered = 'answered',
  /** No connection came about, so the call was never sent. */
  NotSent = 'notSent',
  /** Sent, and no answer came: it may have run. */
  Lost = 'lost',
}

export type ServiceOutcome =
  | {
      readonly kind: ServiceOutcomeKind.Answered;
      readonly status: number;
      readonly contentType: string;
      readonly body: Buffer;
      /** What the service says of the time without calls that it wants. */
      readonly retryAfter: string | undefined;
    }
  | { readonly kind: ServiceOutcomeKind.NotSent; readonly reason: string }
  | {
      readonly kind: ServiceOutcomeKind.Lost;
      readonly reason: string;
      /** The caller's time ran out, rather than the connection breaking. */
      readonly timedOut: boolean;
    };

export interface ServiceClient {
  call(call: ServiceCall): Promise<ServiceOutcome>;
  close(): void;
}

const CONNECT_TIMEOUT_MILLISECONDS = 1000;
/** Methods whose requests have no body unless one is given. */
const METHODS_WITHOUT_BODY = new Set(['GET', 'HEAD', 'DELETE']);
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

function encodeHeaders(call: ServiceCall, authority: string): string[] {
  const headers = [
    ['Host', authority],
    ['Content-Type', call.contentType],
    ['Lapisbridge-Account', call.account],
  ];
  if (call.idempotencyKey !== '') headers.push(['Idempotency-Key', call.idempotencyKey]);
  if (call.body.length > 0 || !METHODS_WITHOUT_BODY.has(call.method))
    headers.push(['Content-Length', String(call.body.length)]);
  return headers.flat();
}

/** Why this process ended a call. */
enum Abort {
  TimedOut = 'the service did not answer in time',
  TooLarge = 'the answer is larger than allowed',
  Closed = 'the client was closed',
}

interface ReceivedAnswer {
  readonly incoming: IncomingMessage;
  readonly body: Buffer;
}

function toOutcome(
  end: ExchangeEnd,
  answer: ReceivedAnswer | undefined,
  abort: Abort | undefined,
): ServiceOutcome {
  if (abort !== undefined) {
    const timedOut = abort === Abort.TimedOut;
    return { kind: ServiceOutcomeKind.Lost, reason: abort, timedOut };
  }
  switch (end.kind) {
    case ExchangeEndKind.NotSent:
      return { kind: ServiceOutcomeKind.NotSent, reason: end.reason };
    case ExchangeEndKind.Incomplete:
    case ExchangeEndKind.Cancelled:
      return { kind: ServiceOutcomeKind.Lost, reason: end.reason, timedOut: false };
    case ExchangeEndKind.Complete: {
      if (answer === undefined) {
        return { kind: ServiceOutcomeKind.Lost, reason: 'no response head', timedOut: false };
      }
      const { headers, statusCode: status = 0 } = answer.incoming;
      return {
        kind: ServiceOutcomeKind.Answered,
        status,
        contentType: headers['content-type'] ?? DEFAULT_CONTENT_TYPE,
        body: answer.body,
        retryAfter: retryAfterOf({ statusCode: status, headers }),
      };
    }
    default: {
      const unreachable: never = end.kind;
      return unreachable;
    }
  }
}

/** Where and how a service is reached. */
export interface ServiceAddress {
  readonly host: string;
  readonly port: number;
  readonly isSecure: boolean;
  /** As callers state it in the `Host` header. */
  readonly authority: string;
  /** Precedes the path of each call; without a slash at its end. */
  readonly basePath: string;
}

/** Decodes the URL of a service; throws if it is not valid. */
export function parseServiceUrl(url: string): ServiceAddress {
  const { protocol, host, hostname, port, pathname } = new URL(url);
  const isSecure = protocol === 'https:';
  const defaultPort = isSecure ? 443 : 80;
  return {
    // An IPv6 address is in brackets in a URL only.
    host: hostname.replace(/^\[|\]$/g, ''),
    port: port === '' ? defaultPort : Number(port),
    isSecure,
    authority: host,
    basePath: pathname.replace(/\/$/, ''),
  };
}

export function createServiceClient(url: string, maximumAnswerBytes: () => number): ServiceClient {
  const { host, port, isSecure, authority, basePath } = parseServiceUrl(url);
  const aborts = new Set<(reason: Abort) => void>();

  return {
    call: (call) =>
      new Promise((resolve) => {
        const chunks: Buffer[] = [];
        let receivedBytes = 0;
        let incoming: IncomingMessage | undefined;
        let abortReason: Abort | undefined;
        const abort = (reason: Abort): void => {
          abortReason ??= reason;
          exchange.cancel(reason);
        };
        const timer = setTimeout(() => abort(Abort.TimedOut), call.timeoutMilliseconds);
        aborts.add(abort);
        const exchange = openExchange(
          {
            host,
            port,
            isSecure,
            method: call.method,
            target: `${basePath}${call.path}`,
            headers: encodeHeaders(call, authority),
            body: Buffer.from(call.body),
            connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
            isServerLeaving: () => false,
          },
          {
            onHead(head) {
              incoming = head;
            },
            onData(chunk) {
              receivedBytes += chunk.length;
              if (receivedBytes > maximumAnswerBytes()) abort(Abort.TooLarge);
              else chunks.push(chunk);
            },
            onEnd(end) {
              clearTimeout(timer);
              aborts.delete(abort);
              const answer =
                incoming === undefined ? undefined : { incoming, body: Buffer.concat(chunks) };
              resolve(toOutcome(end, answer, abortReason));
            },
          },
        );
      }),
    close() {
      for (const abort of aborts) abort(Abort.Closed);
    },
  };
}
