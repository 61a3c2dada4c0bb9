/**
 * The operators' HTTP: documents, drain orders, status and explanations. Bodies are JSON;
 * the command line is its usual client.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { ClientGuard } from '@lapisbridge/client-limits';
import { LapisError, ResultCode } from '@lapisbridge/errors';
import type { Instance } from '@lapisbridge/instance';
import { DrainTargetKind, ServiceState } from '@lapisbridge/types';
import { z } from 'zod';

import { bearerKey, matchesHash } from './accounts.js';
import { acceptDocument, promoteDocument } from './operator/accept-document.js';
import { describeStatus } from './operator/describe-status.js';
import { explain } from './operator/explain.js';
import { orderDrain } from './operator/order-drain.js';
import { readChange, readDocument, readHistory } from './operator/read-changes.js';
import { parseJson } from './parse-json.js';
import type { LoadedServer } from './plan-drain-check.js';
import { readBody } from './read-body.js';
import { sendJson, sendProblem } from './reply.js';

export interface OperatorApiOptions {
  readonly instance: Instance;
  readonly guard: ClientGuard;
  readonly operatorTokenHash: string;
  servers(): readonly LoadedServer[];
  isReady(): boolean;
}

const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;
const MAXIMUM_BODY_MILLISECONDS = 60_000;

const version = z.int().min(0);
const author = z.string().min(1).max(128).default('operator');

const applyBody = z.strictObject({
  base: version,
  text: z.string(),
  author,
  changeId: z.uuid().optional(),
});

const promoteBody = z.strictObject({
  from: z.string().min(1),
  version: version.min(1),
  base: version,
  author,
});

const orderBody = z.strictObject({
  targetKind: z.enum(DrainTargetKind),
  target: z.string().min(1),
  state: z.enum(ServiceState),
  force: z.boolean().default(false),
});

export function createOperatorApi(
  options: OperatorApiOptions,
): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  const { instance, guard } = options;

  function authenticate(request: IncomingMessage): void {
    const token = bearerKey(request.headers.authorization);
    if (token !== undefined && matchesHash(token, options.operatorTokenHash)) return;
    throw new LapisError(ResultCode.OperatorUnknown, 'the operator token is missing or wrong');
  }

  async function apply(body: Buffer): Promise<unknown> {
    const given = parseJson(applyBody, body, 'the change is not valid');
    return acceptDocument(instance, { ...given, changeId: given.changeId });
  }

  async function route(request: IncomingMessage, response: ServerResponse): Promise<unknown> {
    authenticate(request);
    const url = new URL(request.url ?? '/', 'http://entry');
    const name = `${request.method} ${url.pathname}`;
    const body = await readBody(guard, request, response, {
      maximumBytes: MAXIMUM_BODY_BYTES,
      maximumMilliseconds: MAXIMUM_BODY_MILLISECONDS,
    });
    switch (name) {
      case 'GET /v1/status':
        return describeStatus(instance, options.servers(), options.isReady());
      case 'GET /v1/document':
        return readDocument(instance, url.searchParams.get('version'));
      case 'POST /v1/document':
        return apply(body);
      case 'GET /v1/history':
        return { changes: await readHistory(instance) };
      case 'POST /v1/promote':
        return promoteDocument(
          instance,
          parseJson(promoteBody, body, 'the promotion is not valid'),
        );
      case 'POST /v1/orders': {
        const order = parseJson(orderBody, body, 'the order is not valid');
        return orderDrain(instance, options.servers(), order);
      }
      default:
        break;
    }
    const [, , collection, subject = ''] = url.pathname.split('/');
    if (collection === 'explain') return explain(instance, decodeURIComponent(subject));
    if (collection === 'changes') return readChange(instance, decodeURIComponent(subject));
    throw new LapisError(ResultCode.UnknownOperation, `nothing is served at ${name}`);
  }

  return async (request, response) => {
    try {
      sendJson(response, 200, await route(request, response));
    } catch (thrown) {
      if (!(thrown instanceof LapisError)) {
        instance.logger.error('operator request failed', { reason: String(thrown) });
      }
      const error =
        thrown instanceof LapisError
          ? thrown
          : new LapisError(ResultCode.StoreUnavailable, 'the request could not be carried out');
      sendProblem(response, error);
    }
  };
}
