/**
 * Counters and latency histograms of one process, as Prometheus text.
 */
export { createMetrics, LatencyKind } from './metrics.js';
export type { Metrics } from './metrics.js';
export { startMetricsListener } from './metrics-listener.js';
