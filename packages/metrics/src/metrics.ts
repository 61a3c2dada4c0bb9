/**
 * Metrics in Prometheus text. Latencies are kept in HDR histograms, whose percentiles stay
 * exact at the far end, and are read out as quantiles when asked for.
 */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';

const QUANTILES = [50, 95, 99, 99.9];
const MICROSECONDS_PER_MILLISECOND = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const HIGHEST_MICROSECONDS = 3_600_000_000;

export enum LatencyKind {
  FirstToken = 'first_token',
  Draft = 'draft',
  Call = 'call',
  /** First event of a stream, from the request's arrival. */
  FirstEvent = 'first_event',
  /** A whole answer, from the request's arrival. */
  Answer = 'answer',
}

export interface Metrics {
  countRequest(kind: string, code: number): void;
  /** A send was given up before its backend server answered anything. */
  countUnansweredSend(): void;
  observe(kind: LatencyKind, milliseconds: number): void;
  /** Registers a value that is read when metrics are asked for. */
  gauge(name: string, help: string, read: () => number): void;
  /** Registers values by backend server that are read when metrics are asked for. */
  serverGauge(name: string, help: string, read: () => ReadonlyMap<string, number>): void;
  /** Registers counts of datagrams sent, by kind, that are read when metrics are asked for. */
  datagrams(read: () => ReadonlyMap<string, DatagramCount>): void;
  /** Registers counts of retries that are read when metrics are asked for. */
  retries(read: () => readonly RetryCount[]): void;
  text(): Promise<string>;
}

/** Retries of one service for one cause. */
export interface RetryCount {
  readonly service: string;
  readonly cause: string;
  readonly granted: number;
  /** Granted retries that were not sent. */
  readonly returned: number;
  readonly denied: number;
}

export interface DatagramCount {
  readonly datagrams: number;
  readonly bytes: number;
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
}

export function createMetrics(): Metrics {
  const registry = new Registry();
  const requests = new Counter({
    name: 'lapisbridge_requests_total',
    help: 'Requests by kind and result code.',
    labelNames: ['kind', 'code'],
    registers: [registry],
  });
  const unansweredSends = new Counter({
    name: 'lapisbridge_unanswered_sends_total',
    help: 'Sends given up before the backend server answered anything.',
    registers: [registry],
  });
  const histograms = new Map<LatencyKind, Histogram>();
  for (const kind of Object.values(LatencyKind)) histograms.set(kind, createHistogram());
  const latency = new Gauge({
    name: 'lapisbridge_latency_seconds',
    help: 'Latency quantiles since the start.',
    labelNames: ['kind', 'quantile'],
    registers: [registry],
    collect() {
      for (const [kind, histogram] of histograms) {
        for (const quantile of QUANTILES) {
          const seconds = histogram.getValueAtPercentile(quantile) / MICROSECONDS_PER_SECOND;
          this.set({ kind, quantile: String(quantile / 100) }, seconds);
        }
      }
    },
  });
  registry.registerMetric(latency);

  return {
    countRequest(kind, code) {
      requests.inc({ kind, code: String(code) });
    },
    countUnansweredSend: () => unansweredSends.inc(),
    observe(kind, milliseconds) {
      const microseconds = Math.max(1, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND));
      histograms.get(kind)?.recordValue(Math.min(microseconds, HIGHEST_MICROSECONDS));
    },
    gauge(name, help, read) {
      const gauge = new Gauge({
        name,
        help,
        registers: [registry],
        collect() {
          this.set(read());
        },
      });
      registry.registerMetric(gauge);
    },
    serverGauge(name, help, read) {
      const gauge = new Gauge({
        name,
        help,
        labelNames: ['server'],
        registers: [registry],
        collect() {
          this.reset();
          for (const [server, value] of read()) this.set({ server }, value);
        },
      });
      registry.registerMetric(gauge);
    },
    datagrams(read) {
      const sent = new Gauge({
        name: 'lapisbridge_datagrams_sent_total',
        help: 'Datagrams sent to other instances, by kind.',
        labelNames: ['kind'],
        registers: [registry],
        collect() {
          for (const [kind, { datagrams }] of read()) this.set({ kind }, datagrams);
        },
      });
      const bytes = new Gauge({
        name: 'lapisbridge_datagram_bytes_sent_total',
        help: 'Bytes of datagrams sent to other instances, by kind.',
        labelNames: ['kind'],
        registers: [registry],
        collect() {
          for (const [kind, { bytes: sum }] of read()) this.set({ kind }, sum);
        },
      });
      registry.registerMetric(sent);
      registry.registerMetric(bytes);
    },
    retries(read) {
      const retries = new Gauge({
        name: 'lapisbridge_retries_total',
        help: 'Retries that the budget granted or denied, by service and cause.',
        labelNames: ['service', 'cause', 'result'],
        registers: [registry],
        collect() {
          for (const { service, cause, granted, returned, denied } of read()) {
            this.set({ service, cause, result: 'granted' }, granted);
            this.set({ service, cause, result: 'returned' }, returned);
            this.set({ service, cause, result: 'denied' }, denied);
          }
        },
      });
      registry.registerMetric(retries);
    },
    text: () => registry.metrics(),
  };
}
