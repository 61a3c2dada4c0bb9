/**
 * Registers what clients hold of a process and what they lost to limits as metrics.
 */
import type { Metrics } from '@lapisbridge/metrics';

import type { ClientGuard } from './client-guard.js';

export function registerClientMetrics(metrics: Metrics, guard: ClientGuard): void {
  metrics.gauge(
    'lapisbridge_client_connections',
    'Open connections to the listeners of this process.',
    () => guard.usage().connections,
  );
  metrics.gauge(
    'lapisbridge_incomplete_head_bytes',
    'Bytes received of request heads that are not complete.',
    () => guard.usage().headBytes,
  );
  metrics.labelledGauge(
    'lapisbridge_request_body_bytes',
    'Memory that bodies of requests occupy, by stage.',
    'stage',
    () => guard.usage().bodyBytes,
  );
  metrics.labelledGauge(
    'lapisbridge_request_bodies',
    'Requests with a body, by the stage of their body.',
    'stage',
    () => guard.usage().bodies,
  );
  metrics.labelledGauge(
    'lapisbridge_limited_clients_total',
    'Requests refused and connections closed because of a limit on clients, by cause.',
    'cause',
    () => guard.usage().limited,
  );
}
