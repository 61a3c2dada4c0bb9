/**
 * Shared vocabulary. Only enums and plain records live here, so that any package can
 * depend on this one without pulling in behaviour.
 */

/** What a lapisbridged process does. */
export enum Role {
  Entry = 'entry',
  Sidecar = 'sidecar',
}

/** What stands behind a sidecar. */
export enum BackendServerKind {
  ModelRunner = 'modelRunner',
  PlainService = 'plainService',
}

/** Whether an operation of a plain service may be repeated. */
export enum OperationKind {
  Idempotent = 'Idempotent',
  AtMostOnce = 'AtMostOnce',
}

/** Whether the work named by a reply was executed. `Unknown` is said unless one of the others is proved. */
export enum Ran {
  No = 'no',
  Yes = 'yes',
  Unknown = 'unknown',
}

/** What became of an at-most-once call, as told by `GET /v1/requests/<idempotency key>`. */
export enum RequestOutcome {
  NotRun = 'not-run',
  Running = 'running',
  Done = 'done',
  Unknown = 'unknown',
}

/** How an entry chooses among backend servers. */
export enum ChoiceRule {
  /** Prefix affinity bounded by load, else least estimated time. */
  Estimated = 'estimated',
  /** Fewest requests in progress; a baseline for measurements. */
  LeastOutstanding = 'leastOutstanding',
  /** Each in turn; a baseline for measurements. */
  RoundRobin = 'roundRobin',
}

/** Liveness of an instance as one other instance believes it. */
export enum InstanceState {
  Live = 'live',
  Suspect = 'suspect',
  Leaving = 'leaving',
  Dead = 'dead',
}

/** Whether operators let new work reach an availability zone or an instance. */
export enum ServiceState {
  InService = 'inService',
  Drained = 'drained',
}

/** What a drain order is about. */
export enum DrainTargetKind {
  AvailabilityZone = 'availabilityZone',
  Instance = 'instance',
}

/** Place of one rank in a group that advances in lock-step. */
export interface RankPlace {
  readonly group: string;
  readonly rank: number;
  readonly size: number;
}

/** The backend server behind one sidecar. `names` holds models, or the one service. */
export interface BackendServerRecord {
  readonly kind: BackendServerKind;
  readonly names: readonly string[];
  readonly rankPlace?: RankPlace;
}

/** One process of the system, as the platform's list and gossip describe it. */
export interface InstanceRecord {
  readonly instanceId: string;
  readonly role: Role;
  readonly environment: string;
  readonly availabilityZone: string;
  readonly host: string;
  readonly peerPort: number;
  readonly backendServer?: BackendServerRecord;
}

/** What a sidecar reports of its backend server. Times in milliseconds. */
export interface LoadReport {
  readonly running: number;
  readonly queued: number;
  readonly limit: number;
  readonly inFlightTokens: number;
  /** Smoothed step time; 0 when no step was seen lately, so that nothing is known. */
  readonly stepMilliseconds: number;
  readonly warm: boolean;
  /** False while the sidecar cannot connect to its backend server. */
  readonly backendReachable: boolean;
  readonly storeReachable: boolean;
  readonly draining: boolean;
}
