/**
 * HTTP server for callers. Reads each request completely and passes it to the forwarding core. An
 * unexpected error ends only the request in which it occurs; the process goes on.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { RequestKind } from '@lapisbridge/catalog';
import { BodyEndKind, MAXIMUM_HEADER_BYTES } from '@lapisbridge/client-limits';
import type { ClientGuard } from '@lapisbridge/client-limits';
import { createRequestDigest } from '@lapisbridge/crash-attribution';
import { LatencyKind } from '@lapisbridge/metrics';

import { AdmissionKind, decideAdmission, RejectionReason } from './accept-request.js';
import { createCallerResponse } from './caller-response.js';
import type { CallerResponse } from './caller-response.js';
import type { CallerRequest } from './caller-protocol.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import type { InFlightRequest, InFlightRequests } from './in-flight-requests.js';
import { rejectTooLarge } from './local-reply.js';
import { logRequestEnd, RequestEndKind } from './request-end.js';
import type { CutReason } from './plan-backlog-cut.js';
import { planRetryAfter, RefusalCause } from './plan-retry-after.js';
import { planUnreadTimeout } from './plan-wait.js';
import { rankPriority } from './priority-classes.js';
import { isSuccess } from './response-head.js';
import { createRetryDetector } from './retry-detector.js';
import { servePlain } from './serve-plain.js';
import { serveStream } from './serve-stream.js';
import { shutDownListener } from './shut-down-listener.js';

export interface CallerListener {
  start(): Promise<void>;
  /**
   * Accepts connections for `shutdownDelayMilliseconds` more, then completes the requests in
   * flight, and refuses those that would not be complete at `endsAt`, on the clock of the context.
   * Resolves when all connections are closed, at `endsAt` at the latest unless callers still read.
   */
  stop(endsAt: number): Promise<void>;
  /** Logs how the shutdown went, and each request that has no whole response yet. */
  logShutdown(): void;
}

export interface CallerListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly context: ForwardContext;
  readonly inFlight: InFlightRequests;
  readonly guard: ClientGuard;
  /** Whether the configuration may be outdated. */
  isOutdated(): boolean;
  /** How long new connections are still accepted after `stop` was called. */
  readonly shutdownDelayMilliseconds: number;
}

const BAD_REQUEST = 400;
const UNAUTHORIZED = 401;
const NOT_FOUND = 404;
const REQUEST_TIMEOUT = 408;
const CONTENT_TOO_LARGE = 413;
const SERVICE_UNAVAILABLE = 503;

const STATUS_BY_REASON: Readonly<Record<RejectionReason, number>> = {
  [RejectionReason.MissingRequestId]: BAD_REQUEST,
  [RejectionReason.RouteNotFound]: NOT_FOUND,
  [RejectionReason.UnknownKey]: UNAUTHORIZED,
};

/** Limits that apply until a configuration is loaded. */
const DEFAULT_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_HEADER_TIMEOUT_MILLISECONDS = 3000;
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 15_000;
/**
 * Callers reuse a connection that was idle for up to four fifths of the idle timeout. Closing it
 * later than that timeout never races with a new request.
 */
const IDLE_TIMEOUT_FACTOR = 1.2;
/** Time in which a caller that states no deadline must have sent its whole request. */
const DEFAULT_RECEIVE_MILLISECONDS = 30_000;
const TIMEOUT_CHECK_INTERVAL_MILLISECONDS = 1000;
/** Timeout assumed for a caller that states no deadline. */
const DEFAULT_CALLER_TIMEOUT_MILLISECONDS = 10_000;

/** A request that was received completely. */
interface WholeRequest {
  readonly request: CallerRequest;
  readonly response: ServerResponse;
  readonly callerResponse: CallerResponse;
  readonly inFlightRequest: InFlightRequest;
  readonly arrivedAt: number;
  readonly body: Buffer;
}

export function createCallerListener(options: CallerListenerOptions): CallerListener {
  const { context, inFlight, guard } = options;
  const returnWatch = createRetryDetector();

  function sendLocalReply(
    callerResponse: CallerResponse,
    request: CallerRequest,
    status: number,
    reason: string,
    cause: RefusalCause = RefusalCause.NoConfiguration,
  ): void {
    const retryAfter =
      status === SERVICE_UNAVAILABLE
        ? planRetryAfter({
            cause,
            remainingMilliseconds:
              request.callerTimeoutMilliseconds ?? DEFAULT_CALLER_TIMEOUT_MILLISECONDS,
            random: context.random(),
          })
        : undefined;
    context.logger.decision({
      kind: 'refusal',
      subject: request.requestId ?? 'none',
      choice: String(status),
      reason,
      facts: { configurationVersion: context.catalog.operatorState().configuration?.version },
    });
    const headers = context.protocol.encodeLocalReplyHeaders(request.requestId, retryAfter);
    callerResponse.send(status, headers, Buffer.alloc(0));
    context.metrics.countRequest('not admitted', status);
  }

  function logCallerDisconnect(accepted: AcceptedRequest): void {
    logRequestEnd(context, accepted, {
      kind: RequestEndKind.CallerDisconnected,
      choice: 'caller',
      reason: 'the caller disconnected',
      facts: { hasBegun: accepted.response.hasBegun },
    });
  }

  /** A response that was complete but unread has its line already. */
  function logCut(accepted: AcceptedRequest, reason: CutReason): void {
    logRequestEnd(context, accepted, {
      kind: RequestEndKind.Failure,
      choice: 'cut',
      reason: `the caller read too slowly: ${reason}`,
      facts: { hasBegun: accepted.response.hasBegun },
    });
  }

  function exceedsEveryServer({ service, request }: AcceptedRequest): boolean {
    const { servers } = context.catalog.servers();
    return context.serverMemory.exceedsEveryServer(service, servers.values(), request.promptTokens);
  }

  /** Responds to a request whose body was not received; it has not run. */
  function rejectBody(
    callerResponse: CallerResponse,
    request: CallerRequest,
    kind: Exclude<BodyEndKind, BodyEndKind.Complete>,
  ): void {
    switch (kind) {
      case BodyEndKind.TooLarge:
        sendLocalReply(callerResponse, request, CONTENT_TOO_LARGE, 'body exceeds the limit');
        return;
      case BodyEndKind.Refused:
        sendLocalReply(
          callerResponse,
          request,
          SERVICE_UNAVAILABLE,
          'callers together hold too much',
          RefusalCause.Overloaded,
        );
        return;
      case BodyEndKind.Expired:
        sendLocalReply(callerResponse, request, REQUEST_TIMEOUT, 'body incomplete for too long');
        return;
      default: {
        const unreachable: never = kind;
        throw new Error(String(unreachable));
      }
    }
  }

  async function handleRequest(
    incoming: IncomingMessage,
    response: ServerResponse,
    inFlightRequest: InFlightRequest,
  ): Promise<void> {
    const callerResponse = createCallerResponse(response, context.callerBacklog);
    const arrivedAt = context.now();
    const request = context.protocol.decodeRequest(incoming);
    if (!guard.admit(incoming, response)) {
      guard.closeAfter(incoming, response);
      const reason = 'too many requests in flight';
      const cause = RefusalCause.Overloaded;
      sendLocalReply(callerResponse, request, SERVICE_UNAVAILABLE, reason, cause);
      return;
    }
    const { limits } = context.catalog.operatorState().configuration ?? {};
    let isRefused = false;
    const endDeadlineWatch = context.shutdown.onDeadline(() => {
      isRefused = true;
      const cause = RefusalCause.ShuttingDown;
      sendLocalReply(callerResponse, request, SERVICE_UNAVAILABLE, 'entry shuts down', cause);
    });
    const received = await guard
      .readBody(incoming, {
        maximumBytes: limits?.maximumBodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES,
        expiresAt: arrivedAt + (request.callerTimeoutMilliseconds ?? DEFAULT_RECEIVE_MILLISECONDS),
      })
      .catch((thrown: unknown) => {
        // Its connection closes with the refusal.
        if (isRefused) return undefined;
        throw thrown;
      })
      .finally(endDeadlineWatch);
    if (received === undefined) return;
    if (received.kind !== BodyEndKind.Complete) {
      if (callerResponse.isEnded) return;
      guard.closeAfter(incoming, response);
      rejectBody(callerResponse, request, received.kind);
      return;
    }
    try {
      if (!callerResponse.isEnded) {
        const { bytes } = received;
        await serve({ request, response, callerResponse, inFlightRequest, arrivedAt, body: bytes });
      }
    } finally {
      received.release();
    }
  }

  async function serve(whole: WholeRequest): Promise<void> {
    const { request, response, callerResponse, inFlightRequest, arrivedAt, body } = whole;
    // A newer configuration may have been loaded while the body was read.
    const { configuration } = context.catalog.operatorState();
    const admission = decideAdmission({
      configuration,
      isOutdated: options.isOutdated(),
      request,
      randomValue: context.random(),
    });
    switch (admission.kind) {
      case AdmissionKind.Undecided:
        sendLocalReply(
          callerResponse,
          request,
          SERVICE_UNAVAILABLE,
          'configuration missing or possibly outdated',
        );
        return;
      case AdmissionKind.Rejected:
        sendLocalReply(
          callerResponse,
          request,
          STATUS_BY_REASON[admission.reason],
          admission.reason,
        );
        return;
      case AdmissionKind.Accepted: {
        const isRetry = returnWatch.isRetry(
          admission.route.name,
          request.callerTimeoutMilliseconds,
        );
        const loaded = configuration as NonNullable<typeof configuration>;
        const accepted = {
          ...admission,
          request,
          configuration: loaded,
          body,
          sharedParts: [...new Set(request.promptParts.slice(0, -1))],
          digest: createRequestDigest({ ...request, body }),
          arrivedAt,
          expiresAt: arrivedAt + admission.timeoutMilliseconds,
          admittedIn: context.shutdown.phase(),
          response: callerResponse,
          inFlightRequest,
          isRetry,
          ...rankPriority(loaded, admission.service, admission.route, admission.account),
          admissionDraw: context.random(),
        };
        inFlightRequest.identify(admission.requestId, admission.route.name);
        callerResponse.identify({
          requestId: admission.requestId,
          route: admission.route.name,
          maximumUnreadMilliseconds: planUnreadTimeout(admission.route),
        });
        context.retryShare.recordRequest(admission.service);
        context.hedges?.recordRequest(admission.service);
        context.arrivals.recordArrival(admission.service);
        if (admission.account !== undefined) {
          context.accountShares.recordRequest(admission.service, admission.account.name);
        }
        if (exceedsEveryServer(accepted)) rejectTooLarge(context, accepted);
        else if (admission.route.kind === RequestKind.Streaming)
          await serveStream(context, accepted);
        else await servePlain(context, accepted);
        const { cutReason } = callerResponse;
        if (cutReason !== undefined) logCut(accepted, cutReason);
        if (callerResponse.hasDisconnected) logCallerDisconnect(accepted);
        context.metrics.countRequest(admission.route.kind, callerResponse.status);
        const milliseconds = context.now() - arrivedAt;
        if (response.writableEnded && isSuccess(callerResponse.status)) {
          context.responseTimes.record(admission.route.name, milliseconds);
        }
        context.metrics.observe(LatencyKind.Answer, milliseconds);
        return;
      }
      default: {
        const unreachable: never = admission;
        throw new Error(String(unreachable));
      }
    }
  }

  function onRequest(incoming: IncomingMessage, response: ServerResponse): void {
    const inFlightRequest = inFlight.track(incoming, response);
    applyLimits();
    handleRequest(incoming, response, inFlightRequest).catch((thrown: unknown) => {
      context.logger.warn('request failed', { reason: String(thrown) });
      response.destroy();
    });
  }

  const server: Server = createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES }, onRequest);
  const connections = guard.guard(server);
  // Bodies end at the deadline of their own caller.
  server.requestTimeout = 0;
  (server as Server & { connectionsCheckingInterval: number }).connectionsCheckingInterval =
    TIMEOUT_CHECK_INTERVAL_MILLISECONDS;

  function applyLimits(): void {
    const limits = context.catalog.operatorState().configuration?.limits;
    server.headersTimeout =
      limits?.headerTimeoutMilliseconds ?? DEFAULT_HEADER_TIMEOUT_MILLISECONDS;
    server.keepAliveTimeout =
      (limits?.idleTimeoutMilliseconds ?? DEFAULT_IDLE_TIMEOUT_MILLISECONDS) * IDLE_TIMEOUT_FACTOR;
  }

  return {
    async start() {
      applyLimits();
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        server.listen(options.port, options.host, () => resolve());
      });
      server.on('error', (error) => {
        context.logger.error('listener failed', { reason: error.message });
      });
    },
    stop: (endsAt) =>
      shutDownListener({
        connections,
        inFlight,
        shutdown: context.shutdown,
        logger: context.logger,
        acceptMilliseconds: options.shutdownDelayMilliseconds,
        endsAt,
      }),
    logShutdown() {
      for (const request of inFlight.listUnfinished()) {
        context.logger.warn('request unfinished', { ...request });
      }
      for (const counts of inFlight.shutdownCounts()) {
        context.logger.info('shutdown requests', { ...counts });
      }
    },
  };
}
