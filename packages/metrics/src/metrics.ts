/**
 * Metrics in Prometheus text. Values are collected when the text is asked for. The Prometheus
 * library is loaded with the first such request, since it takes an instance about 10 MB and most
 * are never asked.
 */
import { createLatencyHistogram } from './latency-histogram.js';
import type { LatencyHistogram } from './latency-histogram.js';

const PERCENTILES = [50, 95, 99, 99.9];
const MILLISECONDS_PER_SECOND = 1000;

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
  /** Registers values by one label that are read when metrics are asked for. */
  labelledGauge(
    name: string,
    help: string,
    label: string,
    read: () => ReadonlyMap<string, number>,
  ): void;
  /** Registers values by backend server that are read when metrics are asked for. */
  serverGauge(name: string, help: string, read: () => ReadonlyMap<string, number>): void;
  /** Registers values by lock-step group that are read when metrics are asked for. */
  groupGauge(name: string, help: string, read: () => ReadonlyMap<string, number>): void;
  /** Registers counts of datagrams sent, by kind, that are read when metrics are asked for. */
  datagrams(read: () => ReadonlyMap<string, DatagramCount>): void;
  /** Registers counts of retries that are read when metrics are asked for. */
  retries(read: () => readonly RetryCount[]): void;
  /** Registers the demand of the largest accounts, read when metrics are asked for. */
  accountDemand(read: () => readonly AccountDemand[]): void;
  /** Registers counts of duplicates that are read when metrics are asked for. */
  hedges(read: () => readonly HedgeCount[]): void;
  /**
   * Registers counts of responses that were cut because their callers read slowly, by reason; read
   * when metrics are asked for.
   */
  cutResponses(read: () => ReadonlyMap<string, number>): void;
  /**
   * Registers counts of the requests that ended while the entry shut down, read when metrics are
   * asked for.
   */
  shutdownRequests(read: () => readonly ShutdownRequestCount[]): void;
  text(): Promise<string>;
}

/** Requests per second of one client account to one service. */
export interface AccountDemand {
  readonly service: string;
  readonly account: string;
  readonly requestsPerSecond: number;
}

/** Requests that ended while the entry shut down, by whether they came before the signal. */
export interface ShutdownRequestCount {
  readonly arrival: string;
  /** Whole responses. */
  readonly complete: number;
  /** Responses that leave open whether the request ran. */
  readonly failed: number;
  /** Rejected before they were sent to any backend server. */
  readonly refused: number;
  /** Connections that were closed without a whole response. */
  readonly incomplete: number;
}

/** Duplicates of late requests of one service. */
export interface HedgeCount {
  readonly service: string;
  readonly sent: number;
  /** Duplicates that answered first. */
  readonly won: number;
  /** Duplicates that were not sent, by cause. */
  readonly denied: ReadonlyMap<string, number>;
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

enum MetricKind {
  Counter = 'counter',
  Gauge = 'gauge',
}

interface Sample {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

interface Metric {
  readonly kind: MetricKind;
  readonly name: string;
  readonly help: string;
  readonly labelNames: readonly string[];
  read(): Iterable<Sample>;
}

async function renderMetrics(metrics: readonly Metric[]): Promise<string> {
  const { Counter, Gauge, Registry } = await import('prom-client');
  const registry = new Registry();
  for (const { kind, name, help, labelNames, read } of metrics) {
    const options = { name, help, labelNames: [...labelNames], registers: [registry] };
    switch (kind) {
      case MetricKind.Counter: {
        const counter = new Counter(options);
        for (const { labels, value } of read()) counter.inc(labels, value);
        break;
      }
      case MetricKind.Gauge: {
        const gauge = new Gauge(options);
        for (const { labels, value } of read()) gauge.set(labels, value);
        break;
      }
      default: {
        const unreachable: never = kind;
        throw new Error(String(unreachable));
      }
    }
  }
  return registry.metrics();
}

export function createMetrics(): Metrics {
  /** Requests by result code, by kind. */
  const requests = new Map<string, Map<number, number>>();
  const histograms = new Map<LatencyKind, LatencyHistogram>();
  for (const kind of Object.values(LatencyKind)) histograms.set(kind, createLatencyHistogram());
  let unansweredSends = 0;

  function* readRequests(): Iterable<Sample> {
    for (const [kind, byCode] of requests) {
      for (const [code, value] of byCode) yield { labels: { kind, code: String(code) }, value };
    }
  }

  function* readLatencies(): Iterable<Sample> {
    for (const [kind, histogram] of histograms) {
      for (const percentile of PERCENTILES) {
        const labels = { kind, quantile: String(percentile / 100) };
        const value = histogram.valueAtPercentile(percentile) / MILLISECONDS_PER_SECOND;
        yield { labels, value };
      }
    }
  }

  const metrics: Metric[] = [
    {
      kind: MetricKind.Counter,
      name: 'lapisbridge_requests_total',
      help: 'Requests by kind and result code.',
      labelNames: ['kind', 'code'],
      read: readRequests,
    },
    {
      kind: MetricKind.Counter,
      name: 'lapisbridge_unanswered_sends_total',
      help: 'Sends given up before the backend server answered anything.',
      labelNames: [],
      read: () => [{ labels: {}, value: unansweredSends }],
    },
    {
      kind: MetricKind.Gauge,
      name: 'lapisbridge_latency_seconds',
      help: 'Latency quantiles since the start.',
      labelNames: ['kind', 'quantile'],
      read: readLatencies,
    },
  ];

  function addGauge(
    name: string,
    help: string,
    labelNames: readonly string[],
    read: () => Iterable<Sample>,
  ): void {
    metrics.push({ kind: MetricKind.Gauge, name, help, labelNames, read });
  }

  return {
    countRequest(kind, code) {
      const byCode = requests.get(kind) ?? new Map<number, number>();
      byCode.set(code, (byCode.get(code) ?? 0) + 1);
      requests.set(kind, byCode);
    },
    countUnansweredSend() {
      unansweredSends += 1;
    },
    observe: (kind, milliseconds) => histograms.get(kind)?.record(milliseconds),
    gauge: (name, help, read) => addGauge(name, help, [], () => [{ labels: {}, value: read() }]),
    labelledGauge(name, help, label, read) {
      addGauge(name, help, [label], function* readLabelled() {
        for (const [key, value] of read()) yield { labels: { [label]: key }, value };
      });
    },
    serverGauge(name, help, read) {
      addGauge(name, help, ['server'], function* readServers() {
        for (const [server, value] of read()) yield { labels: { server }, value };
      });
    },
    groupGauge(name, help, read) {
      addGauge(name, help, ['group'], function* readGroups() {
        for (const [group, value] of read()) yield { labels: { group }, value };
      });
    },
    accountDemand(read) {
      addGauge(
        'lapisbridge_account_requests_per_second',
        'Requests per second of the largest client accounts, by service.',
        ['service', 'account'],
        function* readAccounts() {
          for (const { service, account, requestsPerSecond } of read()) {
            yield { labels: { service, account }, value: requestsPerSecond };
          }
        },
      );
    },
    datagrams(read) {
      addGauge(
        'lapisbridge_datagrams_sent_total',
        'Datagrams sent to other instances, by kind.',
        ['kind'],
        function* readDatagrams() {
          for (const [kind, { datagrams }] of read()) yield { labels: { kind }, value: datagrams };
        },
      );
      addGauge(
        'lapisbridge_datagram_bytes_sent_total',
        'Bytes of datagrams sent to other instances, by kind.',
        ['kind'],
        function* readBytes() {
          for (const [kind, { bytes }] of read()) yield { labels: { kind }, value: bytes };
        },
      );
    },
    retries(read) {
      addGauge(
        'lapisbridge_retries_total',
        'Retries that the budget granted or denied, by service and cause.',
        ['service', 'cause', 'result'],
        function* readRetries() {
          for (const { service, cause, granted, returned, denied } of read()) {
            yield { labels: { service, cause, result: 'granted' }, value: granted };
            yield { labels: { service, cause, result: 'returned' }, value: returned };
            yield { labels: { service, cause, result: 'denied' }, value: denied };
          }
        },
      );
    },
    hedges(read) {
      addGauge(
        'lapisbridge_hedges_total',
        'Duplicates of late requests that were sent or won, by service.',
        ['service', 'result'],
        function* readHedges() {
          for (const { service, sent, won } of read()) {
            yield { labels: { service, result: 'sent' }, value: sent };
            yield { labels: { service, result: 'won' }, value: won };
          }
        },
      );
      addGauge(
        'lapisbridge_hedges_denied_total',
        'Late requests that got no duplicate, by service and cause.',
        ['service', 'cause'],
        function* readDenials() {
          for (const { service, denied } of read()) {
            for (const [cause, value] of denied) yield { labels: { service, cause }, value };
          }
        },
      );
    },
    cutResponses(read) {
      addGauge(
        'lapisbridge_cut_responses_total',
        'Responses cut because their callers read slowly, by reason.',
        ['reason'],
        function* readCuts() {
          for (const [reason, value] of read()) yield { labels: { reason }, value };
        },
      );
    },
    shutdownRequests(read) {
      addGauge(
        'lapisbridge_shutdown_requests_total',
        'Requests that ended while the entry shut down, by arrival and outcome.',
        ['arrival', 'outcome'],
        function* readShutdown() {
          for (const { arrival, complete, failed, refused, incomplete } of read()) {
            yield { labels: { arrival, outcome: 'complete' }, value: complete };
            yield { labels: { arrival, outcome: 'failed' }, value: failed };
            yield { labels: { arrival, outcome: 'refused' }, value: refused };
            yield { labels: { arrival, outcome: 'incomplete' }, value: incomplete };
          }
        },
      );
    },
    text: () => renderMetrics(metrics),
  };
}
