/**
 * A caller of an entry for tests of forwarding.
 */
import { request } from 'node:http';

export interface ReceivedResponse {
  readonly status: number;
  /** NaN when the response does not state it. */
  readonly retryAfterSeconds: number;
  /** From the request to the end of the response. */
  readonly milliseconds: number;
}

/** Sends one request to the entry at the port. Rejects when the connection fails. */
export function sendRequest(
  port: number,
  requestId: string,
  promptParts: readonly string[] = [],
  key?: string,
): Promise<ReceivedResponse> {
  const sentAt = performance.now();
  return new Promise((resolve, reject) => {
    const headers = {
      'request-id': requestId,
      'prompt-parts': promptParts.join(','),
      ...(key === undefined ? {} : { key }),
    };
    const outgoing = request({ host: '127.0.0.1', port, method: 'POST', headers }, (incoming) => {
      incoming.resume();
      incoming.on('error', reject);
      incoming.on('end', () =>
        resolve({
          status: incoming.statusCode ?? 0,
          retryAfterSeconds: Number(incoming.headers['retry-after'] ?? NaN),
          milliseconds: performance.now() - sentAt,
        }),
      );
    });
    outgoing.on('error', reject);
    outgoing.end('body');
  });
}
