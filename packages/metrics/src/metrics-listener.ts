/**
 * Serves one process's metrics at an address of their own, for scrapers.
 */
import { createServer } from 'node:http';
import type { Server } from 'node:http';

import type { Metrics } from './metrics.js';

const METRICS_PATH = '/metrics';

/** `onError` is told when the address cannot be listened on; the process goes on without. */
export function startMetricsListener(
  metrics: Metrics,
  host: string,
  port: number,
  onError: (error: Error) => void,
): Server {
  const server = createServer((incoming, response) => {
    incoming.resume();
    if (incoming.url !== METRICS_PATH) {
      response.writeHead(404);
      response.end();
      return;
    }
    metrics.text().then(
      (text) => {
        response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
        response.end(text);
      },
      (error: Error) => {
        onError(error);
        response.writeHead(500);
        response.end();
      },
    );
  });
  server.on('error', onError);
  return server.listen(port, host);
}
