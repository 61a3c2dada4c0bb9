/**
 * Opens the HTTP exchange of one attempt at a backend server.
 */
import type { BackendServer } from '@lapisbridge/catalog';

import { openExchange } from './exchange.js';
import type { Exchange, ExchangeListener } from './exchange.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import { computeRemainingMilliseconds } from './request-expiry.js';
import { planPriority, urgencyOf } from './plan-priority.js';

/** Timeout for connecting within a region: some round trips of a few milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

export interface ForwardAttempt {
  readonly context: ForwardContext;
  readonly accepted: AcceptedRequest;
  readonly server: BackendServer;
  /** Id of the event after which the server is to resume a stream. */
  readonly lastEventId: number | undefined;
  /** Whether the request was moved from a server that stopped responding. */
  readonly isMoved: boolean;
}

export function openForwardExchange(attempt: ForwardAttempt, listener: ExchangeListener): Exchange {
  const { context, accepted, server, lastEventId, isMoved } = attempt;
  const { request, body } = accepted;
  const urgency = urgencyOf({
    route: accepted.route,
    hasBegun: accepted.response.hasBegun,
    isMoved,
    isRetry: accepted.isRetry,
    idleMilliseconds: context.now() - accepted.arrivedAt,
  });
  const headers = context.protocol.encodeForwardHeaders({
    request,
    priority: planPriority(accepted.priority, urgency),
    server,
    account: accepted.account,
    remainingMilliseconds: computeRemainingMilliseconds(context, accepted),
    lastEventId,
    bodyBytes: body.length,
  });
  const options = {
    host: server.host,
    port: server.port,
    method: request.method,
    target: request.target,
    headers,
    body,
    connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
    isServerLeaving() {
      const listed = context.catalog.servers().servers.get(server.instanceId) ?? server;
      return listed.draining || context.statements.isLeaving(server);
    },
  };
  accepted.inFlightRequest.recordForwarded();
  return openExchange(options, listener);
}
