/**
 * Services that forwarding uses, and the state of one request.
 */
import type { CrashLedger, RequestDigest } from '@lapisbridge/crash-attribution';
import type { Catalog, ClientAccount, Configuration, Route } from '@lapisbridge/catalog';
import type { AccountShares, GroupConcurrency, PriorityClass } from '@lapisbridge/load-shedding';
import type { HedgeBudget } from '@lapisbridge/hedging';
import type { Logger } from '@lapisbridge/logger';
import type { Metrics } from '@lapisbridge/metrics';
import type { WorkEstimator } from '@lapisbridge/work-estimate';

import type { ArrivalMeter } from './arrival-meter.js';
import type { CallerBacklog } from './caller-backlog.js';
import type { CallerResponse } from './caller-response.js';
import type { CallerProtocol, CallerRequest } from './caller-protocol.js';
import type { ColdStartShare } from './cold-start-share.js';
import type { GroupHealth } from './group-health.js';
import type { GroupLoads } from './group-loads.js';
import type { GroupPassMeter } from './group-pass-meter.js';
import type { EntryShutdown, ShutdownPhase } from './entry-shutdown.js';
import type { InFlightRequest } from './in-flight-requests.js';
import type { Outcome } from './outcome.js';
import type { ContentionCounts } from './contention-counts.js';
import type { EventActivity } from './event-activity.js';
import type { ResponseBuffers } from './response-buffers.js';
import type { ResponseTimes } from './response-times.js';
import type { RetryBudgetShare } from './retry-budget-share.js';
import type { AttemptContent, ServerEndDetector } from './server-end-detector.js';
import type { ServerLoadTracker } from './server-load-tracker.js';
import type { ServerMemory } from './server-memory.js';
import type { ServerLiveness } from './server-liveness.js';
import type { ServerStatements } from './server-statements.js';

export interface ForwardContext {
  readonly protocol: CallerProtocol;
  readonly catalog: Catalog;
  readonly ledger: ServerLoadTracker;
  readonly liveness: ServerLiveness;
  readonly serverMemory: ServerMemory;
  readonly retryShare: RetryBudgetShare;
  /** Limit on duplicates of late requests. */
  readonly hedges?: HedgeBudget | undefined;
  readonly coldShare: ColdStartShare;
  readonly statements: ServerStatements;
  readonly serverEnds: ServerEndDetector;
  readonly crashLedger: Pick<CrashLedger, 'findQuarantined' | 'generationOf' | 'nextQuarantine'>;
  readonly pulse: EventActivity;
  readonly responseBuffers: ResponseBuffers;
  readonly responseTimes: ResponseTimes;
  readonly shutdown: EntryShutdown;
  readonly callerBacklog: CallerBacklog;
  readonly groupHealth: GroupHealth;
  readonly groupLoads: GroupLoads;
  readonly groupConcurrency: GroupConcurrency;
  readonly contentionCounts: ContentionCounts;
  readonly groupPasses: GroupPassMeter;
  readonly workEstimator: WorkEstimator;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly arrivals: ArrivalMeter;
  readonly accountShares: AccountShares;
  readonly ownZone: string;
  /** Tells other entries at once which requests were lost with ended servers. */
  announceCrashes(): void;
  /** Number of entries that send to the same servers, including this one. */
  entries(): number;
  now(): number;
  random(): number;
}

/** A request that was admitted, with the configuration version that admitted it. */
export interface AcceptedRequest {
  readonly request: CallerRequest;
  readonly requestId: string;
  readonly configuration: Configuration;
  readonly route: Route;
  readonly service: string;
  readonly account: ClientAccount | undefined;
  readonly body: Buffer;
  /** Ids of the prompt parts that other requests may share. */
  readonly sharedParts: readonly string[];
  /** Tells whether another attempt is of the same request. */
  readonly digest: RequestDigest;
  readonly arrivedAt: number;
  /**
   * Latest time of a response, on the clock of `now`: at the route's timeout or shortly before the
   * caller's own, whichever comes first.
   */
  readonly expiresAt: number;
  /** Phase of the entry's shutdown in which the request was complete. */
  readonly admittedIn: ShutdownPhase;
  readonly response: CallerResponse;
  readonly inFlightRequest: InFlightRequest;
  /** The caller was refused before and will not retry again. */
  readonly isRetry: boolean;
  /** As stated to backend servers; 0 is the most urgent. */
  readonly priority: number;
  readonly priorityClass: PriorityClass;
  /** Uniform in [0, 1); drawn once, so that a held request is admitted by a lower load alone. */
  readonly admissionDraw: number;
}

/** The attempts made at one request so far. */
export interface RequestProgress {
  readonly tried: Set<string>;
  readonly outcomes: Outcome[];
  /** Attempts that are in progress or may have run, without proof that they did not run. */
  runs: number;
  sends: number;
  /** Each resolves once it is known whether the server of an attempt has ended under it. */
  readonly settlements: Promise<void>[];
}

export function createProgress(): RequestProgress {
  return { tried: new Set(), outcomes: [], runs: 0, sends: 0, settlements: [] };
}

/** Prompt part or digest because of which the request may reach no server; undefined for none. */
export function findQuarantinedCause(
  context: ForwardContext,
  { sharedParts, digest }: AcceptedRequest,
): string | undefined {
  return context.crashLedger.findQuarantined(sharedParts, digest);
}

/** What the next attempt asks of its server, apart from the request itself. */
export function describeAttempt(
  context: ForwardContext,
  { sharedParts, digest }: AcceptedRequest,
  { runs }: RequestProgress,
): AttemptContent {
  const generation = 1 + Math.max(context.crashLedger.generationOf(digest), runs);
  return { sharedParts, digest, generation };
}
