/**
 * What serving one request needs: the services it uses and the request as it was accepted.
 */
import type { Catalog, ClientAccount, Configuration, Route } from '@lapisbridge/catalog';
import type { Logger } from '@lapisbridge/logger';
import type { Metrics } from '@lapisbridge/metrics';

import type { ArrivalMeter } from './arrival-meter.js';
import type { CallerAnswer } from './caller-answer.js';
import type { CallerProtocol, CallerRequest } from './caller-protocol.js';
import type { ColdStartShare } from './cold-start-share.js';
import type { GroupHealth } from './group-health.js';
import type { Outcome } from './outcome.js';
import type { EventActivity } from './event-activity.js';
import type { RetryBudgetShare } from './retry-budget-share.js';
import type { ServerLoadTracker } from './server-load-tracker.js';
import type { ServerLiveness } from './server-liveness.js';
import type { ServerStatements } from './server-statements.js';

export interface ForwardContext {
  readonly protocol: CallerProtocol;
  readonly catalog: Catalog;
  readonly ledger: ServerLoadTracker;
  readonly liveness: ServerLiveness;
  readonly retryShare: RetryBudgetShare;
  readonly coldShare: ColdStartShare;
  readonly statements: ServerStatements;
  readonly pulse: EventActivity;
  readonly groupHealth: GroupHealth;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly arrivals: ArrivalMeter;
  readonly ownZone: string;
  /** Entries that send to the same servers, this one included. */
  entries(): number;
  now(): number;
  random(): number;
}

/** A request that was found to be proper, decided on one version of the configuration. */
export interface AcceptedRequest {
  readonly request: CallerRequest;
  readonly requestId: string;
  readonly configuration: Configuration;
  readonly route: Route;
  readonly service: string;
  readonly account: ClientAccount | undefined;
  readonly body: Buffer;
  readonly arrivedAt: number;
  /** The route's timeout or the end of the caller's patience, whichever comes first. */
  readonly expiresAt: number;
  readonly answer: CallerAnswer;
  /** The caller was refused before, and does not come back another time. */
  readonly isRetry: boolean;
  /** Of the client account, or else of the route; 0 is served first. */
  readonly priority: number;
}

/** What has been tried so far. */
export interface Progress {
  readonly tried: Set<string>;
  readonly outcomes: Outcome[];
  /** Attempts that reached a backend server and were not refused by it. */
  runs: number;
  sends: number;
}

export function startProgress(): Progress {
  return { tried: new Set(), outcomes: [], runs: 0, sends: 0 };
}

export function remainingOf(context: ForwardContext, accepted: AcceptedRequest): number {
  return Math.max(0, Math.floor(accepted.expiresAt - context.now()));
}
