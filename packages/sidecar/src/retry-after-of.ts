/**
 * The backoff that a backend server asks for, as it stands in its answer.
 */
import type { Dispatcher } from 'undici';

const SERVICE_UNAVAILABLE = 503;

/** Undefined where the server does not turn the request away, or asks for nothing. */
export function retryAfterOf({
  statusCode,
  headers,
}: Pick<Dispatcher.ResponseData, 'statusCode' | 'headers'>): string | undefined {
  const value = headers['retry-after'];
  return statusCode === SERVICE_UNAVAILABLE && typeof value === 'string' ? value : undefined;
}
