/**
 * Takes callers' connections, reads their requests whole, and hands them to the forwarding
 * core. A request that fails in an unforeseen way ends alone; the process goes on.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { RequestKind } from '@lapisbridge/catalog';
import { LatencyKind } from '@lapisbridge/metrics';

import { AdmissionKind, Impropriety, planAdmission } from './accept-request.js';
import { createCallerAnswer } from './caller-answer.js';
import type { CallerAnswer } from './caller-answer.js';
import type { CallerRequest } from './caller-protocol.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import { EndKind, noteOutcome } from './note-outcome.js';
import { planRetryAfter, RefusalCause } from './plan-retry-after.js';
import { createReturnWatch } from './return-watch.js';
import { servePlain } from './serve-plain.js';
import { serveStream } from './serve-stream.js';

export interface CallerListener {
  start(): Promise<void>;
  /** Answers what is in progress, takes nothing that is new in the end; resolves when done. */
  stop(): Promise<void>;
  /** Requests in progress. */
  inProgress(): number;
}

export interface CallerListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly context: ForwardContext;
  /** Whether the configuration may be outdated. */
  isOutdated(): boolean;
  /** How long new connections are still taken after a stop was asked for. */
  readonly lingerMilliseconds: number;
}

const BAD_REQUEST = 400;
const UNAUTHORIZED = 401;
const NOT_FOUND = 404;
const TOO_LARGE = 413;
const SERVICE_UNAVAILABLE = 503;

const STATUS_OF: Readonly<Record<Impropriety, number>> = {
  [Impropriety.NoRequestId]: BAD_REQUEST,
  [Impropriety.NoRoute]: NOT_FOUND,
  [Impropriety.UnknownKey]: UNAUTHORIZED,
};

/** Used until a configuration says otherwise. */
const DEFAULT_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_HEADER_MILLISECONDS = 3000;
const DEFAULT_IDLE_MILLISECONDS = 15_000;
/** Callers use four fifths of the idle time; closing later than that never meets a request. */
const IDLE_FACTOR = 1.2;
const MAXIMUM_HEADER_BYTES = 64 * 1024;
/** Time for a whole body; the caller's deadline comes sooner. */
const BODY_MILLISECONDS = 30_000;
const CHECK_MILLISECONDS = 1000;
const CLOSE_IDLE_MILLISECONDS = 100;
/** Time for a caller without a deadline. */
const ASSUMED_PATIENCE_MILLISECONDS = 10_000;

/** Reads the body; undefined when it is larger than allowed. */
function readBody(incoming: IncomingMessage, maximum: number): Promise<Buffer | undefined> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maximum) resolve(undefined);
      else chunks.push(chunk);
    });
    incoming.on('end', () => resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)));
    incoming.on('error', reject);
    incoming.on('close', () => reject(new Error('the caller left within its request')));
  });
}

export function createCallerListener(options: CallerListenerOptions): CallerListener {
  const { context } = options;
  const returnWatch = createReturnWatch();
  let stopping = false;
  let active = 0;

  function answerOwn(
    answer: CallerAnswer,
    request: CallerRequest,
    status: number,
    reason: string,
  ): void {
    const retryAfter =
      status === SERVICE_UNAVAILABLE
        ? planRetryAfter({
            cause: RefusalCause.NoConfiguration,
            remainingMilliseconds: request.patienceMilliseconds ?? ASSUMED_PATIENCE_MILLISECONDS,
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
    const headers = context.protocol.encodeOwnAnswer(request.requestId, retryAfter);
    answer.send(status, headers, Buffer.alloc(0));
    context.metrics.countRequest('not admitted', status);
  }

  function noteLeft(accepted: AcceptedRequest): void {
    noteOutcome(context, accepted, {
      kind: EndKind.Gone,
      choice: 'caller',
      reason: 'the caller left',
      facts: { hasBegun: accepted.answer.hasBegun },
    });
  }

  async function serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const answer = createCallerAnswer(response);
    const arrivedAt = context.now();
    const request = context.protocol.decodeRequest(incoming);
    const { limits } = context.catalog.operatorState().configuration ?? {};
    const maximumBody = limits?.maximumBodyBytes ?? DEFAULT_BODY_BYTES;
    const body = await readBody(incoming, maximumBody);
    if (answer.isOver) return;
    if (body === undefined) {
      response.shouldKeepAlive = false;
      answerOwn(answer, request, TOO_LARGE, `body over ${maximumBody} bytes`);
      return;
    }
    // A newer one may have come into force while the body was read.
    const { configuration } = context.catalog.operatorState();
    const admission = planAdmission({
      configuration,
      isOutdated: options.isOutdated(),
      request,
      share: context.random(),
    });
    switch (admission.kind) {
      case AdmissionKind.NotKnown:
        answerOwn(answer, request, SERVICE_UNAVAILABLE, 'configuration not known or outdated');
        return;
      case AdmissionKind.Improper:
        answerOwn(answer, request, STATUS_OF[admission.fault], admission.fault);
        return;
      case AdmissionKind.Accepted: {
        const isRetry = returnWatch.isRetry(admission.route.name, request.patienceMilliseconds);
        const accepted = {
          ...admission,
          request,
          configuration: configuration as NonNullable<typeof configuration>,
          body,
          arrivedAt,
          expiresAt: arrivedAt + admission.timeoutMilliseconds,
          answer,
          isRetry,
          priority: admission.account?.priority ?? admission.route.priority,
        };
        context.retryShare.count(admission.service);
        context.arrivals.note(admission.service);
        if (admission.route.kind === RequestKind.Streaming) await serveStream(context, accepted);
        else await servePlain(context, accepted);
        if (answer.hasLeft) noteLeft(accepted);
        context.metrics.countRequest(admission.route.kind, answer.status);
        context.metrics.observe(LatencyKind.Answer, context.now() - arrivedAt);
        return;
      }
      default: {
        const unreachable: never = admission;
        throw new Error(String(unreachable));
      }
    }
  }

  function onRequest(incoming: IncomingMessage, response: ServerResponse): void {
    active += 1;
    response.once('close', () => {
      active -= 1;
    });
    if (stopping) response.shouldKeepAlive = false;
    applyLimits();
    serve(incoming, response).catch((thrown: unknown) => {
      context.logger.warn('request failed', { reason: String(thrown) });
      response.destroy();
    });
  }

  const server: Server = createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES }, onRequest);
  server.requestTimeout = BODY_MILLISECONDS;
  (server as Server & { connectionsCheckingInterval: number }).connectionsCheckingInterval =
    CHECK_MILLISECONDS;

  function applyLimits(): void {
    const limits = context.catalog.operatorState().configuration?.limits;
    server.headersTimeout = limits?.headerTimeoutMilliseconds ?? DEFAULT_HEADER_MILLISECONDS;
    server.keepAliveTimeout =
      (limits?.idleTimeoutMilliseconds ?? DEFAULT_IDLE_MILLISECONDS) * IDLE_FACTOR;
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
    async stop() {
      stopping = true;
      // The balancer notices only after some of its checks; until then it sends connections.
      await new Promise((resolve) => {
        setTimeout(resolve, options.lingerMilliseconds);
      });
      const timer = setInterval(() => server.closeIdleConnections(), CLOSE_IDLE_MILLISECONDS);
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      clearInterval(timer);
    },
    inProgress: () => active,
  };
}
