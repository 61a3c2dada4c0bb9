/**
 * Protocol between callers, the entry and backend servers in tests of forwarding.
 */
import { RateLimitKind, RetryAfterKind } from './caller-protocol.js';
import type { CallerProtocol } from './caller-protocol.js';

/** Uses header names that exist only in tests. */
export const fixtureProtocol: CallerProtocol = {
  decodeRequest: (incoming) => ({
    requestId: incoming.headers['request-id'] as string | undefined,
    method: incoming.method ?? 'GET',
    host: 'host',
    target: incoming.url ?? '/',
    key: incoming.headers.key as string | undefined,
    callerTimeoutMilliseconds: Number(incoming.headers.patience ?? 5000),
    lastEventId:
      incoming.headers['last-event'] === undefined
        ? undefined
        : Number(incoming.headers['last-event']),
    promptTokens: 10,
    outputHint: {
      expectedTokens:
        incoming.headers['expected-tokens'] === undefined
          ? undefined
          : Number(incoming.headers['expected-tokens']),
      maximumTokens: undefined,
    },
    promptParts: String(incoming.headers['prompt-parts'] ?? '')
      .split(',')
      .filter((part) => part !== ''),
    headers: ['Host', 'host', 'Request-Id', String(incoming.headers['request-id'])],
  }),
  encodeForwardHeaders: ({ request, server, lastEventId, bodyBytes, remainingMilliseconds }) => [
    ...request.headers,
    'Server-Id',
    server.instanceId,
    'Remaining',
    String(remainingMilliseconds),
    'Content-Length',
    String(bodyBytes),
    ...(lastEventId === undefined ? [] : ['Last-Event', String(lastEventId)]),
  ],
  decodeResponseHead: (incoming) => ({
    status: incoming.statusCode ?? 0,
    requestId: incoming.headers['request-id'] as string | undefined,
    isSigned: incoming.headers.signature !== undefined,
    notRun: incoming.headers['not-run'] !== undefined,
    isMisdirected: incoming.statusCode === 421,
    faultyAddress: incoming.headers['faulty-address'] as string | undefined,
    load:
      incoming.headers.running === undefined
        ? undefined
        : { running: Number(incoming.headers.running), waiting: 0 },
    rateLimit:
      incoming.headers['rate-limit'] === undefined
        ? { kind: RateLimitKind.None }
        : {
            kind: RateLimitKind.Stated,
            requestsPerSecond: Number(incoming.headers['rate-limit']),
          },
    retryAfter:
      incoming.headers['retry-after'] === undefined
        ? { kind: RetryAfterKind.None }
        : {
            kind: RetryAfterKind.Stated,
            milliseconds: Number(incoming.headers['retry-after']) * 1000,
          },
    isLeaving: incoming.headers.leaving !== undefined,
    headers: [
      'Signature',
      String(incoming.headers.signature),
      'Content-Type',
      incoming.headers['content-type'] ?? 'text/plain',
    ],
  }),
  encodeLocalReplyHeaders: (_requestId, retryAfter) => [
    'Content-Length',
    '0',
    ...(retryAfter === undefined ? [] : ['Retry-After', String(retryAfter / 1000)]),
  ],
};
