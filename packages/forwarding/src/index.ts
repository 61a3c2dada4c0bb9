/**
 * Forwards callers' requests directly to backend servers.
 */
export { createArrivalMeter } from './arrival-meter.js';
export type { ArrivalMeter } from './arrival-meter.js';
export { createCallerBacklog } from './caller-backlog.js';
export type { CallerBacklog } from './caller-backlog.js';
export { createCallerListener } from './caller-listener.js';
export type { CallerListener, CallerListenerOptions } from './caller-listener.js';
export { RateLimitKind, RetryAfterKind } from './caller-protocol.js';
export type {
  ResponseHead,
  CallerProtocol,
  CallerRequest,
  ForwardHeadersInput,
  ReportedLoad,
  StatedRateLimit,
  StatedRetryAfter,
} from './caller-protocol.js';
export { createColdStartShare } from './cold-start-share.js';
export type { ColdStartShare } from './cold-start-share.js';
export { createEntryShutdown } from './entry-shutdown.js';
export { endToEndHeaders } from './end-to-end-headers.js';
export { ExchangeEndKind, openExchange } from './exchange.js';
export type { Exchange, ExchangeEnd, ExchangeListener, ExchangeOptions } from './exchange.js';
export type { ForwardContext } from './forward-context.js';
export { createGroupHealth } from './group-health.js';
export { createContentionCounts } from './contention-counts.js';
export type { ContentionCounts } from './contention-counts.js';
export { createGroupLoads } from './group-loads.js';
export type { GroupLoad, GroupLoads } from './group-loads.js';
export type { GroupHealth, RankHealth } from './group-health.js';
export { createGroupPassMeter } from './group-pass-meter.js';
export type { EventGapWatch, GroupPassMeter } from './group-pass-meter.js';
export { createInFlightRequests } from './in-flight-requests.js';
export type { InFlightRequests } from './in-flight-requests.js';
export { createResponseBuffers } from './response-buffers.js';
export { planBacklogLimits } from './plan-backlog-cut.js';
export { createResponseTimes } from './response-times.js';
export { createEventActivity } from './event-activity.js';
export { createRetryBudgetShare, RetryCause } from './retry-budget-share.js';
export type { RetryBudgetLimits } from './retry-allowance.js';
export type {
  RetryBudgetShare,
  RetryBudgetShareOptions,
  RetryCount,
} from './retry-budget-share.js';
export type { SendingEntries } from './sender-rank.js';
export { createServerBackoffs } from './server-backoffs.js';
export type { ServerBackoffs } from './server-backoffs.js';
export { createServerDepartures } from './server-departures.js';
export type { ServerDepartures } from './server-departures.js';
export { probeConnection, ProbeResult } from './connection-probe.js';
export type { ConnectionProbe, ProbedAddress } from './connection-probe.js';
export { createServerEndDetector, processKeyOf } from './server-end-detector.js';
export type { ServerEnd, ServerEndDetector, WatchedAttempt } from './server-end-detector.js';
export { createServerLoadTracker } from './server-load-tracker.js';
export type { ServerLoadTracker } from './server-load-tracker.js';
export { createServerLiveness } from './server-liveness.js';
export type { ServerLiveness } from './server-liveness.js';
export { createServerMemory } from './server-memory.js';
export type { ServerMemory } from './server-memory.js';
export { createServerRateLimits } from './server-rate-limits.js';
export type { RateLimitStatement, ServerRateLimits } from './server-rate-limits.js';
export { createServerStatements } from './server-statements.js';
export type { ServerStatements } from './server-statements.js';
export type { ActiveStatement } from './active-statement.js';
