/**
 * What serving one request needs: the services it uses and the request as it was accepted.
 */
import type { Catalog, ClientAccount, Configuration, Route } from '@lapisbridge/catalog';
import type { Logger } from '@lapisbridge/logger';
import type { Metrics } from '@lapisbridge/metrics';

import type { ArrivalMeter } from './arrival-meter.js';
import type { CallerResponse } from './caller-response.js';
import type { CallerProtocol, CallerRequest } from './caller-protocol.js';
import type { ColdShare } from './cold-share.js';
import type { GroupHealth } from './group-health.js';
import type { Outcome } from './outcome.js';
import type { Pulse } from './pulse.js';
import type { RetryShare } from './retry-share.js';
import type { ServerLedger } from './server-ledger.js';
import type { ServerLiveness } from './server-liveness.js';
import type { ServerStatements } from './server-statements.js';

export interface ForwardContext {
  readonly protocol: CallerProtocol;
  readonly catalog: Catalog;
  readonly ledger: ServerLedger;
  readonly liveness: ServerLiveness;
  readonly retryShare: RetryShare;
  readonly coldShare: ColdShare;
  readonly statements: ServerStatements;
  readonly pulse: Pulse;
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
  readonly response: CallerResponse;
  /** The caller was refused before, and does not come back another time. */
  readonly isRetry: boolean;
  /** Of the client account, or else of the route; 0 is served first. */
  readonly priority: number;
}

/** What has been tried so far. */
export interface RequestProgress {
  readonly tried: Set<string>;
  readonly outcomes: Outcome[];
  /** Attempts that reached a backend server and were not refused by it. */
  runs: number;
  sends: number;
}

export function createProgress(): RequestProgress {
  return { tried: new Set(), outcomes: [], runs: 0, sends: 0 };
}

export function computeRemainingMilliseconds(
  context: ForwardContext,
  accepted: AcceptedRequest,
): number {
  return Math.max(0, Math.floor(accepted.expiresAt - context.now()));
}
