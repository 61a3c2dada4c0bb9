/**
 * Writes answers and errors to callers and operators.
 */
import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';

import { problemBody, RESULT_CODES, ResultCode } from '@lapisbridge/errors';
import type { LapisError } from '@lapisbridge/errors';

const MILLISECONDS_PER_SECOND = 1000;
/** Statuses on which clients look for Retry-After. */
const RETRY_STATUSES = new Set([409, 429, 503, 504]);
const DEFAULT_RETRY_MILLISECONDS = 1000;

export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    'lapisbridge-result': ResultCode.Accepted,
  });
  response.end(text);
}

function retryAfterSeconds(error: LapisError): number {
  const milliseconds = error.retryAfterMilliseconds ?? DEFAULT_RETRY_MILLISECONDS;
  return Math.max(1, Math.ceil(milliseconds / MILLISECONDS_PER_SECOND));
}

export function sendProblem(response: ServerResponse, error: LapisError, requestId?: string): void {
  if (response.destroyed || response.writableEnded) return;
  const text = JSON.stringify(problemBody(error, requestId));
  const status = RESULT_CODES[error.code].httpStatus;
  const headers: OutgoingHttpHeaders = {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(text),
    'lapisbridge-result': error.code,
    ...(requestId === undefined ? {} : { 'lapisbridge-request': requestId }),
    ...(RETRY_STATUSES.has(status) ? { 'retry-after': String(retryAfterSeconds(error)) } : {}),
    // The rest of an oversize or unread body must not be taken for a next request.
    ...(error.code === ResultCode.BodyTooLarge ? { connection: 'close' } : {}),
  };
  response.writeHead(status, headers);
  response.end(text);
}
