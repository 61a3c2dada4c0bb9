/**
 * Calls the plain service behind this sidecar, once. Nothing here repeats a call: whether a
 * repetition is allowed is decided elsewhere, with the claim in hand.
 */
import { Agent, request } from 'undici';

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

const UNSENT_ERRORS = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);
const CONNECT_MILLISECONDS = 1000;

export function createServiceClient(url: string, maximumAnswerBytes: () => number): ServiceClient {
  // pipelining 0 gives each call a connection of its own. On a kept connection the service's
  // closing can race with the call, and then nobody could tell whether it was taken.
  const agent = new Agent({
    pipelining: 0,
    connect: { timeout: CONNECT_MILLISECONDS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    async call(call) {
      try {
        const reply = await request(`${url}${call.path}`, {
          method: call.method as 'POST',
          dispatcher: agent,
          signal: AbortSignal.timeout(call.timeoutMilliseconds),
          headers: {
            'content-type': call.contentType,
            'lapisbridge-account': call.account,
            ...(call.idempotencyKey === '' ? {} : { 'idempotency-key': call.idempotencyKey }),
          },
          body: call.body.length === 0 ? null : Buffer.from(call.body),
        });
        const body = Buffer.from(await reply.body.arrayBuffer());
        if (body.length > maximumAnswerBytes()) {
          const reason = 'the answer is larger than allowed';
          return { kind: ServiceOutcomeKind.Lost, reason, timedOut: false };
        }
        const contentType = reply.headers['content-type'];
        return {
          kind: ServiceOutcomeKind.Answered,
          status: reply.statusCode,
          contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream',
          body,
          retryAfter: retryAfterOf(reply),
        };
      } catch (thrown) {
        const { code, message } = thrown as NodeJS.ErrnoException;
        if (UNSENT_ERRORS.has(code ?? '')) {
          return { kind: ServiceOutcomeKind.NotSent, reason: message };
        }
        const timedOut = (thrown as Error).name === 'TimeoutError';
        return { kind: ServiceOutcomeKind.Lost, reason: message, timedOut };
      }
    },
    close() {
      void agent.destroy();
    },
  };
}
