/**
 * `ANY /services/<service>/<path>`
 */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { EnvironmentDocument } from '@lapisbridge/config';
import { LapisError, ResultCode } from '@lapisbridge/errors';
import { OperationKind, Ran } from '@lapisbridge/types';

import { LatencyKind } from '@lapisbridge/metrics';
import { serveCall } from '../call.js';
import type { ServiceAnswer } from '../call-types.js';
import { createDeadline, parseTimeout } from '../deadline.js';
import { readBody } from '../read-body.js';
import { headerOf, requireDocument, whenGone } from './caller-options.js';
import type { CallerOptions, Exchange } from './caller-options.js';

export const SERVICES_PREFIX = '/services/';
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/;

function operationKind(
  document: EnvironmentDocument,
  service: string,
  path: string,
): OperationKind {
  const policy = document.services.find(({ name }) => name === service);
  if (policy === undefined) {
    throw new LapisError(ResultCode.UnknownOperation, `no service is named ${service}`);
  }
  const operation = policy.operations.find((one) => one.path === path);
  // What the document does not list may change something, so it must not be repeated.
  return operation?.kind ?? OperationKind.AtMostOnce;
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

function digestOf(method: string, path: string, body: Buffer): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex');
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

/** Splits `/services/<service>/<path>` into its service and its path. */
function splitPath(pathname: string): { readonly service: string; readonly path: string } {
  const rest = pathname.slice(SERVICES_PREFIX.length);
  const [service = ''] = rest.split('/', 1);
  return { service, path: rest.slice(service.length) || '/' };
}

export async function handleCall(options: CallerOptions, exchange: Exchange): Promise<void> {
  const { instance, guard, accounts, metrics, inFlight, context, stopDeadline } = options;
  const { request, response, requestId, url } = exchange;
  const document = requireDocument(instance);
  const account = await accounts.authenticate(headerOf(request, 'authorization'));
  const timeout = parseTimeout(headerOf(request, 'lapisbridge-timeout-ms'), document.limits);
  const deadline = createDeadline(timeout);
  const { service, path: operationPath } = splitPath(url.pathname);
  const operation = operationKind(document, service, operationPath);
  const idempotencyKey = requireIdempotencyKey(request, operation);
  const body = await readBody(guard, request, response, {
    maximumBytes: document.limits.maximumBodyBytes,
    maximumMilliseconds: timeout,
  });
  stopDeadline.requireTime(deadline.remaining());
  const method = request.method ?? 'GET';
  const path = `${operationPath}${url.search}`;
  const startedAt = performance.now();
  const release = inFlight.enter(account, 1, document.limits);
  try {
    const answer = await serveCall(context, {
      requestId,
      account: account.name,
      service,
      operation,
      method,
      path,
      contentType: headerOf(request, 'content-type') ?? 'application/octet-stream',
      body,
      key: {
        environment: instance.self.environment,
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
