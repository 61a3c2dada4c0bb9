/**
 * What callers, stand-ins and operators saw during one concurrent run. Positions in the
 * history are the order of observation; checkers never use clock times.
 */
import type { Ran } from '@lapisbridge/types';

export enum EventKind {
  /** A caller's request began. */
  Invoke = 'invoke',
  /** A caller got its final reply, or lost its connection. */
  Reply = 'reply',
  /** A draft's text as the caller has it in the end. */
  Answer = 'answer',
  /** A plain service really executed a call. */
  Effect = 'effect',
  /** A backend server was given new work. */
  Dispatch = 'dispatch',
  /** An order to drain is in force at the named instances. */
  DrainInForce = 'drainInForce',
  DrainLifted = 'drainLifted',
  /** A planned stop was asked for; and the process ended, with answers it had cut off. */
  StopAsked = 'stopAsked',
  Stopped = 'stopped',
  ConfigurationAccepted = 'configurationAccepted',
  /** An instance told the version in force there. */
  ConfigurationSeen = 'configurationSeen',
  /** The end of the run: every reachable instance had its time to follow. */
  Settled = 'settled',
  /** One rank advanced one step on a map. */
  MapStep = 'mapStep',
  /** Highest load on an engine while it was cold, and what it bears. */
  ColdLoad = 'coldLoad',
  /** Requests that a backend server got in a window while it stated a rate limit, and its bound. */
  RateLimitedLoad = 'rateLimitedLoad',
  RetryLoad = 'retryLoad',
  /** A request reached a backend server long after its caller had left. */
  AbandonedArrival = 'abandonedArrival',
  /** A request of an entry reached a backend server that had asked this entry to back off. */
  BackoffLoad = 'backoffLoad',
  /** A request with a prompt part that has crashed five servers reached one more, too late. */
  CrashingArrival = 'crashingArrival',
  /** A request that has crashed three servers reached one more. */
  CrashingRequestArrival = 'crashingRequestArrival',
  /** First attempts of sound requests while requests with a crashing part came, or before. */
  SoundShare = 'soundShare',
  /** First attempts while most connections were handed to one entry, and before. */
  HandedOverShare = 'handedOverShare',
  /** An entry blames a prompt part that has crashed no server. */
  SoundPartBlamed = 'soundPartBlamed',
  /** A request reached a backend server that had told its entry long before that it leaves. */
  SentToLeaving = 'sentToLeaving',
}

export type HistoryEvent =
  | { readonly kind: EventKind.Invoke; readonly request: string; readonly callKey?: string }
  | {
      readonly kind: EventKind.Reply;
      readonly request: string;
      readonly callKey?: string;
      /** HTTP status, 0 when the connection broke. */
      readonly status: number;
      readonly ran?: Ran;
    }
  | {
      readonly kind: EventKind.Answer;
      readonly request: string;
      readonly text: string;
      readonly expected: string;
      /** The end mark came. */
      readonly complete: boolean;
      /** The caller was told a numbered code instead. */
      readonly code?: number;
    }
  | { readonly kind: EventKind.Effect; readonly callKey: string }
  | { readonly kind: EventKind.Dispatch; readonly instanceId: string }
  | { readonly kind: EventKind.DrainInForce; readonly instanceIds: readonly string[] }
  | { readonly kind: EventKind.DrainLifted; readonly instanceIds: readonly string[] }
  | { readonly kind: EventKind.StopAsked; readonly instanceId: string }
  | {
      readonly kind: EventKind.Stopped;
      readonly instanceId: string;
      readonly cutOff: number;
      /** What the caller of a request that was cut off saw. */
      readonly reason?: string | undefined;
    }
  | { readonly kind: EventKind.ConfigurationAccepted; readonly version: number }
  | {
      readonly kind: EventKind.ConfigurationSeen;
      readonly instanceId: string;
      readonly version: number;
    }
  | { readonly kind: EventKind.Settled; readonly instanceIds: readonly string[] }
  | {
      readonly kind: EventKind.MapStep;
      readonly group: string;
      readonly rank: number;
      readonly step: number;
      readonly mapVersion: number;
    }
  | {
      readonly kind: EventKind.ColdLoad;
      readonly instanceId: string;
      readonly highest: number;
      readonly bearable: number;
    }
  | {
      readonly kind: EventKind.RateLimitedLoad;
      readonly instanceId: string;
      readonly requests: number;
      readonly allowed: number;
    }
  | {
      readonly kind: EventKind.RetryLoad;
      readonly service: string;
      readonly retries: number;
      readonly allowed: number;
    }
  | {
      readonly kind: EventKind.AbandonedArrival;
      readonly instanceId: string;
      readonly request: string;
    }
  | {
      readonly kind: EventKind.SentToLeaving;
      readonly instanceId: string;
      readonly entry: string;
    }
  | {
      readonly kind: EventKind.CrashingArrival;
      readonly instanceId: string;
      readonly part: string;
    }
  | {
      readonly kind: EventKind.CrashingRequestArrival;
      readonly instanceId: string;
      readonly target: string;
    }
  | {
      readonly kind: EventKind.SoundShare;
      readonly part: string;
      readonly servedBefore: number;
      readonly sentBefore: number;
      readonly servedDuring: number;
      readonly sentDuring: number;
    }
  | {
      readonly kind: EventKind.HandedOverShare;
      readonly servedBefore: number;
      readonly sentBefore: number;
      readonly servedDuring: number;
      readonly sentDuring: number;
    }
  | {
      readonly kind: EventKind.SoundPartBlamed;
      readonly instanceId: string;
      readonly part: string;
    }
  | {
      readonly kind: EventKind.BackoffLoad;
      readonly instanceId: string;
      readonly entry: string;
      /** Within this backoff so far. */
      readonly requests: number;
    };

export type EventOf<K extends EventKind> = Extract<HistoryEvent, { readonly kind: K }>;

export interface History {
  record(event: HistoryEvent): void;
  readonly events: readonly HistoryEvent[];
  /** One JSON object a line. */
  toJsonLines(): string;
}

export function createHistory(): History {
  const events: HistoryEvent[] = [];
  return {
    events,
    record: (event) => void events.push(event),
    toJsonLines: () => events.map((event) => JSON.stringify(event)).join('\n'),
  };
}
