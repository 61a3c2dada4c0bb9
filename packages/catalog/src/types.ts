/**
 * Types of the catalog: routes, services, client accounts, caller limits and backend servers.
 * Platform adapters decode rows of the store into these types; routing and forwarding read them.
 */

/** Whether a request may be sent again after its response was lost. */
export enum RequestKind {
  /** May run any number of times, so it can be retried. */
  Idempotent = 'idempotent',
  /** Runs at most once per client attempt. */
  AtMostOnce = 'atMostOnce',
  /** A stream of events; continued on another backend server only if the route is resumable. */
  Streaming = 'streaming',
}

/** A target of a route and its share of the route's traffic. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the sum of the weights of the route's targets. */
  readonly weight: number;
}

/** Requests of one host and path prefix, and how they are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash; the longest prefix that matches the path wins. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Time limit for the complete response. */
  readonly timeoutMilliseconds: number;
  /** Objective for the time to the response, or to the first event of a stream. */
  readonly latencyObjectiveMilliseconds: number;
  /** Objective for the longest pause between two events; 0 if the route does not stream. */
  readonly eventGapObjectiveMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly WeightedService[];
  /** Most backend servers that one client attempt may be sent to. */
  readonly maximumAttempts: number;
  /** Served without an API key. */
  readonly isPublic: boolean;
  /** Another backend server may continue a stream after the last delivered event. */
  readonly resumable: boolean;
}

/** Capacity of a model runner, as operators configure it. */
export interface EngineProfile {
  /** Requests that can generate output at the same time. */
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
  /** Duration of a step without streams. */
  readonly stepMilliseconds: number;
  /** Steps executed in one pass. */
  readonly stepsPerPass: number;
  /** Number of layer sets with experts of their own; 0 if the model has no experts. */
  readonly sets: number;
  /** Experts in each set. */
  readonly experts: number;
  /** Experts of one set that a rank can hold. */
  readonly placesPerRank: number;
  /** Experts of one set that a rank can load while a new map is prepared. */
  readonly newPerRank: number;
}

/** Limits of a service's backend servers, as operators configure them. */
export interface ServiceProfile {
  readonly name: string;
  /** Connections that one backend server accepts in total. */
  readonly maximumConnections: number;
  /** Requests per second that a backend server can serve while it warms up; 0 if it needs none. */
  readonly coldRequestsPerSecond: number;
  /** Undefined if the service is not a model runner. */
  readonly engine: EngineProfile | undefined;
}

/** The account that a request's API key belongs to. */
export interface ClientAccount {
  readonly name: string;
  /** 0 is the most urgent; undefined if the route's priority applies. */
  readonly priority: number | undefined;
  /** Relative share of a service that is short of capacity; 1 if undefined. */
  readonly weight?: number | undefined;
}

/** Limits on requests from callers: body size in bytes, timeouts in milliseconds. */
export interface CallerLimits {
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** One version of the operators' configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  /** By name. */
  readonly services: ReadonlyMap<string, ServiceProfile>;
  /** Accounts by API key; undefined if the deployment does not use keys. */
  readonly accountsByKey: ReadonlyMap<string, ClientAccount> | undefined;
  readonly limits: CallerLimits;
}

/** A backend server's place in a lock-step group. */
export interface GroupRank {
  readonly group: string;
  readonly epoch: number;
  readonly rank: number;
  readonly open: boolean;
}

/**
 * A backend server as registered in the store. Entries compare a hash of its JSON form, so renaming
 * a field changes that hash.
 */
export interface BackendServer {
  readonly instanceId: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Takes no new requests and is about to stop. */
  readonly draining: boolean;
  readonly groupRank: GroupRank | undefined;
  /** Start time by the server's own clock, in Unix milliseconds; undefined if not stated. */
  readonly startedAt: number | undefined;
}
