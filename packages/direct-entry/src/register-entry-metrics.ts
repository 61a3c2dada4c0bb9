/**
 * Registers the metrics of an entry's parts. Values are read when metrics are asked for.
 */
import { registerClientMetrics } from '@lapisbridge/client-limits';
import type { ClientGuard } from '@lapisbridge/client-limits';
import type { CrashLedger } from '@lapisbridge/crash-attribution';
import type {
  ActiveStatement,
  CallerBacklog,
  ContentionCounts,
  GroupPassMeter,
  InFlightRequests,
  RetryBudgetShare,
  ServerBackoffs,
  ServerDepartures,
  ServerEndDetector,
  ServerLiveness,
  ServerRateLimits,
} from '@lapisbridge/forwarding';
import type { HedgeBudget } from '@lapisbridge/hedging';
import type { AccountShares } from '@lapisbridge/load-shedding';
import type { Metrics } from '@lapisbridge/metrics';

/** Parts of the entry that have metrics. */
export interface MeasuredParts {
  readonly rateLimits: ServerRateLimits;
  readonly backoffs: ServerBackoffs;
  readonly departures: ServerDepartures;
  readonly liveness: ServerLiveness;
  readonly serverEnds: ServerEndDetector;
  readonly crashLedger: CrashLedger;
  readonly groupPasses: GroupPassMeter;
  readonly retryShare: RetryBudgetShare;
  readonly accountShares: AccountShares;
  readonly contentionCounts: ContentionCounts;
  readonly hedges: HedgeBudget;
  readonly callerBacklog: CallerBacklog;
  readonly inFlight: InFlightRequests;
  readonly guard: ClientGuard;
  /** Number of servers in use that the list lacks. */
  unlistedServers(): number;
}

const MAXIMUM_ACCOUNTS_IN_METRICS = 10;

function secondsByServer(statements: readonly ActiveStatement[]): ReadonlyMap<string, number> {
  return new Map(
    statements.map(({ instanceId, ageMilliseconds }) => [instanceId, ageMilliseconds / 1000]),
  );
}

export function registerEntryMetrics(metrics: Metrics, parts: MeasuredParts): void {
  const { rateLimits, backoffs, departures, liveness, serverEnds, crashLedger } = parts;
  const { groupPasses, retryShare, accountShares, contentionCounts, hedges, callerBacklog } = parts;
  metrics.gauge(
    'lapisbridge_rate_limited_servers',
    'Backend servers that state a rate limit.',
    () => rateLimits.limitedServerCount(),
  );
  metrics.gauge(
    'lapisbridge_unlisted_servers',
    'Backend servers in use that the store does not list.',
    () => parts.unlistedServers(),
  );
  metrics.gauge(
    'lapisbridge_silent_servers',
    'Backend servers that are silent while most of their service are not.',
    () => liveness.silentServerCount(),
  );
  metrics.gauge(
    'lapisbridge_rate_limited_requests_sent_total',
    'Requests sent to backend servers while they state a rate limit.',
    () => rateLimits.requestsSent(),
  );
  metrics.gauge(
    'lapisbridge_ended_servers_total',
    'Backend servers that ended unplanned while they had requests of this entry.',
    () => serverEnds.endedServers(),
  );
  metrics.gauge(
    'lapisbridge_quarantined_prompt_parts',
    'Prompt parts whose requests are refused because they crash backend servers.',
    () => crashLedger.quarantinedParts().length,
  );
  metrics.gauge(
    'lapisbridge_quarantined_requests',
    'Requests that are refused because they end backend servers.',
    () => crashLedger.quarantinedRequests().length,
  );
  metrics.serverGauge(
    'lapisbridge_server_backoff_seconds',
    'Time since a backend server that backs off asked for it.',
    () => secondsByServer(backoffs.listActive()),
  );
  metrics.serverGauge(
    'lapisbridge_server_leaving_seconds',
    'Time since a backend server first stated that it leaves.',
    () => secondsByServer(departures.list()),
  );
  metrics.groupGauge(
    'lapisbridge_group_pass_milliseconds',
    'Last known length of a pass of a lock-step group, by the streams of this entry.',
    () => groupPasses.listPasses(),
  );
  metrics.gauge(
    'lapisbridge_backoff_requests_sent_total',
    'Requests sent to backend servers while they back off.',
    () => backoffs.requestsSent(),
  );
  metrics.retries(() => retryShare.counts());
  metrics.accountDemand(() => accountShares.largestAccounts(MAXIMUM_ACCOUNTS_IN_METRICS));
  metrics.gauge(
    'lapisbridge_account_limits_total',
    'Requests whose client account exceeded its share of a service that was short.',
    () => accountShares.limitedCount(),
  );
  metrics.gauge(
    'lapisbridge_stream_holds_total',
    'Checks at which a stream was held because the passes of its lock-step groups were long.',
    () => contentionCounts.holds(),
  );
  metrics.gauge(
    'lapisbridge_class_refusals_total',
    'Streams that were refused because their priority class gave way to more urgent ones.',
    () => contentionCounts.refusals(),
  );
  metrics.hedges(() => hedges.counts());
  metrics.gauge(
    'lapisbridge_caller_backlog_bytes',
    'Bytes held for callers that have not read them yet.',
    () => callerBacklog.heldBytes(),
  );
  metrics.gauge(
    'lapisbridge_backlogged_callers',
    'Callers that have not read everything sent to them.',
    () => callerBacklog.callerCount(),
  );
  metrics.cutResponses(() => callerBacklog.cutCounts());
  metrics.gauge(
    'lapisbridge_in_flight_requests',
    'Requests of callers that have no whole response yet.',
    () => parts.inFlight.count(),
  );
  metrics.shutdownRequests(() => parts.inFlight.shutdownCounts());
  registerClientMetrics(metrics, parts.guard);
}
