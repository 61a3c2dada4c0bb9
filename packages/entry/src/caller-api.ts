/**
 * The callers' HTTP: drafts, plain services, what became of a call, and health.
 */
import { randomBytes } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { LapisError, ResultCode, toLapisError } from '@lapisbridge/errors';

import type { CallerOptions, Exchange } from './caller/caller-options.js';
import { handleCall, SERVICES_PREFIX } from './caller/handle-call.js';
import { handleDraft } from './caller/handle-draft.js';
import { handleOutcome, REQUESTS_PREFIX } from './caller/handle-outcome.js';
import { sendJson, sendProblem } from './reply.js';

const DRAFTS_PATH = '/v1/chat/completions';
const REQUEST_ID_BYTES = 16;
const METRICS_TYPE = 'text/plain; version=0.0.4';

async function sendMetrics(options: CallerOptions, response: ServerResponse): Promise<void> {
  response.writeHead(200, { 'content-type': METRICS_TYPE });
  response.end(await options.metrics.text());
}

async function route(options: CallerOptions, exchange: Exchange): Promise<void> {
  const { request, response, url } = exchange;
  const path = url.pathname;
  switch (path) {
    case '/healthz':
      sendJson(response, 200, { alive: true });
      return;
    case '/readyz':
      if (!options.isReady()) {
        throw new LapisError(ResultCode.NotReady, 'draining, or without a configuration');
      }
      sendJson(response, 200, { ready: true });
      return;
    case '/metrics':
      await sendMetrics(options, response);
      return;
    case DRAFTS_PATH:
      if (request.method !== 'POST') {
        throw new LapisError(ResultCode.MethodNotAllowed, `${DRAFTS_PATH} takes POST`);
      }
      await handleDraft(options, exchange);
      return;
    default:
      break;
  }
  if (path.startsWith(SERVICES_PREFIX)) {
    await handleCall(options, exchange);
  } else if (path.startsWith(REQUESTS_PREFIX) && request.method === 'GET') {
    await handleOutcome(options, exchange);
  } else {
    throw new LapisError(ResultCode.UnknownOperation, `nothing is served at ${path}`);
  }
}

export function createCallerApi(
  options: CallerOptions,
): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  return async (request, response) => {
    const requestId = randomBytes(REQUEST_ID_BYTES).toString('base64url');
    try {
      const url = new URL(request.url ?? '/', 'http://entry');
      await route(options, { request, response, requestId, url });
    } catch (thrown) {
      const error = toLapisError(thrown);
      options.metrics.countRequest('refused', error.code);
      const { code, ran } = error;
      options.instance.logger.info('request not answered', { requestId, code, ran });
      sendProblem(response, error, requestId);
    }
  };
}
