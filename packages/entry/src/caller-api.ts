/**
 * The callers' HTTP: drafts, plain services, what became of a call, and health.
 */
import { createHash, randomBytes, randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { parseEventId } from '@lapisbridge/answers';
import type { EventId } from '@lapisbridge/answers';
import type { ClientAccount, EnvironmentDocument, Limits } from '@lapisbridge/config';
import { LapisError, ResultCode, toLapisError } from '@lapisbridge/errors';
import type { Instance } from '@lapisbridge/instance';
import type { RetryBudget } from '@lapisbridge/routing';
import { OperationKind, Ran, RequestOutcome } from '@lapisbridge/types';

import type { Accounts } from './accounts.js';
import { createEventSink, createJsonSink } from './answer-sink.js';
import type { BackendPool } from './backend-pool.js';
import { serveCall } from './call.js';
import type { ServiceAnswer } from './call-types.js';
import type { CallOutcomes } from './call-outcome.js';
import { createDeadline, parseTimeout } from './deadline.js';
import { serveDraft } from './draft.js';
import { parseDraft } from './draft-request.js';
import type { InFlightLimits } from './in-flight-limits.js';
import { LatencyKind } from './metrics.js';
import type { Metrics } from './metrics.js';
import { readBody } from './read-body.js';
import { sendJson, sendProblem } from './reply.js';

export interface CallerApiOptions {
  readonly instance: Instance;
  readonly pool: BackendPool;
  readonly accounts: Accounts;
  readonly budget: RetryBudget;
  readonly outcomes: CallOutcomes;
  readonly inFlight: InFlightLimits;
  readonly metrics: Metrics;
  /** Whether new callers should come here. */
  isReady(): boolean;
}

const DRAFTS_PATH = '/v1/chat/completions';
const REQUESTS_PREFIX = '/v1/requests/';
const SERVICES_PREFIX = '/services/';
const REQUEST_ID_BYTES = 16;
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/;

function headerOf(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function whenGone(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}

function digestOf(method: string, path: string, body: Buffer): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex');
}

function parseResume(header: string | undefined): EventId | undefined {
  if (header === undefined) return undefined;
  const id = parseEventId(header);
  if (id !== undefined) return id;
  throw new LapisError(ResultCode.BadRequest, 'Last-Event-ID is not one of ours');
}

export function createCallerApi(
  options: CallerApiOptions,
): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  const { instance, pool, accounts, metrics } = options;
  const { logger, self, random, state } = instance;
  let turn = 0;
  const context = {
    pool,
    nextTurn() {
      turn += 1;
      return turn;
    },
    logger,
    random,
    budget: options.budget,
    entryId: self.instanceId,
    ownZone: self.availabilityZone,
    outcomes: options.outcomes,
  };

  function requireDocument(): EnvironmentDocument {
    const document = state.configuration?.document;
    if (document !== undefined) return document;
    throw new LapisError(ResultCode.NotReady, 'no configuration is known here yet');
  }

  function timeoutOf(request: IncomingMessage, limits: Limits): number {
    return parseTimeout(headerOf(request, 'lapisbridge-timeout-ms'), limits);
  }

  async function handleDraft(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
  ): Promise<void> {
    const document = requireDocument();
    const account = await accounts.authenticate(headerOf(request, 'authorization'));
    const deadline = createDeadline(timeoutOf(request, document.limits));
    const body = parseDraft(await readBody(request, document.limits.maximumBodyBytes));
    const model = document.models.find(({ name }) => name === body.model);
    if (model === undefined) {
      throw new LapisError(ResultCode.UnknownModel, `no model is named ${body.model}`);
    }
    const resumeFrom = parseResume(headerOf(request, 'last-event-id'));
    const id = resumeFrom?.requestId ?? requestId;
    const startedAt = performance.now();
    const sinkOptions = { response, requestId: id, model: model.name };
    const streamed = body.stream === true;
    const sink = streamed ? createEventSink(sinkOptions) : createJsonSink(sinkOptions);
    const tokens = body.max_tokens ?? model.defaultAnswerTokens;
    const release = options.inFlight.enter(account, tokens, document.limits);
    let first = true;
    try {
      await serveDraft(context, {
        requestId: id,
        account: account.name,
        body,
        document,
        model,
        deadline,
        sink,
        callerGone: whenGone(response),
        resumable: streamed,
        resumeFrom,
        onFirstText() {
          if (!first) return;
          first = false;
          metrics.observe(LatencyKind.FirstToken, performance.now() - startedAt);
        },
      });
      metrics.countRequest('draft', ResultCode.Accepted);
      metrics.observe(LatencyKind.Draft, performance.now() - startedAt);
    } catch (thrown) {
      const error = toLapisError(thrown);
      metrics.countRequest('draft', error.code);
      logger.info('draft not answered', { requestId: id, code: error.code });
      sink.fail(error);
    } finally {
      release();
    }
  }

  function operationKind(
    document: EnvironmentDocument,
    service: string,
    path: string,
  ): OperationKind {
    const policy = document.services.find(({ name }) => name === service);
    if (policy === undefined) {
      throw new LapisError(ResultCode.UnknownOperation, `no service is named ${service}`);
    }
    // What the document does not list may change something, so it must not be repeated.
    return (
      policy.operations.find((operation) => operation.path === path)?.kind ??
      OperationKind.AtMostOnce
    );
  }

  function requireIdempotencyKey(request: IncomingMessage, kind: OperationKind): string {
    if (kind === OperationKind.Idempotent) return '';
    const key = headerOf(request, 'idempotency-key') ?? '';
    if (IDEMPOTENCY_KEY.test(key)) return key;
    throw new LapisError(
      ResultCode.MissingIdempotencyKey,
      'this operation needs an Idempotency-Key of 1 to 255 visible ASCII characters',
    );
  }

  function sendAnswer(response: ServerResponse, requestId: string, answer: ServiceAnswer): void {
    response.writeHead(answer.status, {
      'content-type': answer.contentType,
      'content-length': answer.body.length,
      'lapisbridge-request': requestId,
      'lapisbridge-result': ResultCode.Accepted,
      'lapisbridge-ran': Ran.Yes,
      ...(answer.replayed ? { 'lapisbridge-replayed': 'true' } : {}),
      ...(answer.instanceId === '' ? {} : { 'lapisbridge-instance': answer.instanceId }),
    });
    response.end(answer.body);
  }

  async function handleCall(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
    url: URL,
  ): Promise<void> {
    const document = requireDocument();
    const account = await accounts.authenticate(headerOf(request, 'authorization'));
    const deadline = createDeadline(timeoutOf(request, document.limits));
    const rest = url.pathname.slice(SERVICES_PREFIX.length);
    const [service = ''] = rest.split('/', 1);
    const operationPath = rest.slice(service.length) || '/';
    const operation = operationKind(document, service, operationPath);
    const idempotencyKey = requireIdempotencyKey(request, operation);
    const body = await readBody(request, document.limits.maximumBodyBytes);
    const method = request.method ?? 'GET';
    const path = `${operationPath}${url.search}`;
    const contentType = headerOf(request, 'content-type') ?? 'application/octet-stream';
    const startedAt = performance.now();
    const release = options.inFlight.enter(account, 1, document.limits);
    try {
      const answer = await serveCall(context, {
        requestId,
        account: account.name,
        service,
        operation,
        method,
        path,
        contentType,
        body,
        key: {
          environment: self.environment,
          service,
          account: account.name,
          idempotencyKey,
          digest: digestOf(method, `/${service}${path}`, body),
        },
        document,
        deadline,
        callerGone: whenGone(response),
      });
      metrics.countRequest('call', ResultCode.Accepted);
      metrics.observe(LatencyKind.Call, performance.now() - startedAt);
      sendAnswer(response, requestId, answer);
    } finally {
      release();
    }
  }

  async function handleOutcome(
    request: IncomingMessage,
    response: ServerResponse,
    idempotencyKey: string,
  ): Promise<void> {
    const account: ClientAccount = await accounts.authenticate(headerOf(request, 'authorization'));
    const key = {
      environment: self.environment,
      service: '',
      account: account.name,
      idempotencyKey,
      digest: '',
    };
    // A write, not a read: an attempt that is frozen on its way must not run after this answer.
    const proof = await options.outcomes.prove(key, `asked-${randomUUID()}`);
    const result = await options.outcomes.loadResult(proof);
    const outcome =
      proof.outcome === RequestOutcome.Done && result === undefined
        ? RequestOutcome.Unknown
        : proof.outcome;
    sendJson(response, 200, {
      outcome,
      ...(result === undefined ? {} : { answer: result }),
    });
  }

  async function handleHealth(path: string, response: ServerResponse): Promise<void> {
    switch (path) {
      case '/healthz':
        sendJson(response, 200, { alive: true });
        break;
      case '/readyz':
        if (!options.isReady()) {
          throw new LapisError(ResultCode.NotReady, 'draining, or without a configuration');
        }
        sendJson(response, 200, { ready: true });
        break;
      default:
        response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
        response.end(await metrics.text());
    }
  }

  async function route(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://entry');
    const path = url.pathname;
    if (path === '/healthz' || path === '/readyz' || path === '/metrics') {
      await handleHealth(path, response);
    } else if (path === DRAFTS_PATH) {
      if (request.method !== 'POST') {
        throw new LapisError(ResultCode.MethodNotAllowed, `${DRAFTS_PATH} takes POST`);
      }
      await handleDraft(request, response, requestId);
    } else if (path.startsWith(SERVICES_PREFIX)) {
      await handleCall(request, response, requestId, url);
    } else if (path.startsWith(REQUESTS_PREFIX) && request.method === 'GET') {
      const key = decodeURIComponent(path.slice(REQUESTS_PREFIX.length));
      await handleOutcome(request, response, key);
    } else {
      throw new LapisError(ResultCode.UnknownOperation, `nothing is served at ${path}`);
    }
  }

  return async (request, response) => {
    const requestId = randomBytes(REQUEST_ID_BYTES).toString('base64url');
    try {
      await route(request, response, requestId);
    } catch (thrown) {
      const error = toLapisError(thrown);
      metrics.countRequest('refused', error.code);
      logger.info('request not answered', { requestId, code: error.code, ran: error.ran });
      sendProblem(response, error, requestId);
    }
  };
}
