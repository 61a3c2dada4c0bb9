/**
 * What an instance knows of its deployment: the operators' configuration, which availability
 * zones take no work, and the backend servers. Adapters fill these types; decisions read them.
 */

/** What may be done again when an answer is lost. */
export enum RequestKind {
  /** May run any number of times. */
  Idempotent = 'idempotent',
  /** Runs once at most for each attempt of a client. */
  AtMostOnce = 'atMostOnce',
  /** A series of events; may be continued elsewhere only where the route says so. */
  Streaming = 'streaming',
}

export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash; the longest one that begins the path wins. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Longest time a caller is kept waiting for the whole answer. */
  readonly timeoutMilliseconds: number;
  /** Time to the answer, or to the first event, that callers hope for. */
  readonly latencyObjectiveMilliseconds: number;
  /** Longest pause between events that callers hope for; 0 where answers have no events. */
  readonly eventGapObjectiveMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly WeightedService[];
  /** Backend servers that one attempt of a client may run on. */
  readonly maximumAttempts: number;
  /** Served without a key. */
  readonly isPublic: boolean;
  /** A stream may be continued by another backend server after the last event delivered. */
  readonly resumable: boolean;
}

/** Speed of a model runner, as its operators state it. */
export interface EngineProfile {
  /** Requests that write at the same time. */
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
  /** Steps that one pass executes. */
  readonly stepsPerPass: number;
  /** Sets of layers that have experts of their own. */
  readonly sets: number;
  readonly experts: number;
  /** Experts that a rank can hold in one set. */
  readonly placesPerRank: number;
  /** Experts of a set that a rank can load for one new map. */
  readonly newPerRank: number;
}

export interface ServiceProfile {
  readonly name: string;
  /** Connections that one backend server takes from all callers together. */
  readonly maximumConnections: number;
  /** Requests a second that a cold backend server bears; 0 where it has no cold phase. */
  readonly coldRequestsPerSecond: number;
  readonly engine: EngineProfile | undefined;
}

export interface ClientAccount {
  readonly name: string;
  readonly priority: number | undefined;
}

export interface CallerLimits {
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceProfile>;
  /** Accounts by key; undefined where the deployment knows no keys. */
  readonly accountsByKey: ReadonlyMap<string, ClientAccount> | undefined;
  readonly limits: CallerLimits;
}

/** The rank of a lock-step group that a backend server is. */
export interface GroupRank {
  readonly group: string;
  readonly epoch: number;
  readonly rank: number;
  readonly open: boolean;
}

export interface BackendServer {
  readonly instanceId: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Takes no new work, and will end. */
  readonly draining: boolean;
  readonly groupRank: GroupRank | undefined;
  /** Unix milliseconds of its start by its own clock; undefined where it does not say. */
  readonly startedAt: number | undefined;
}
