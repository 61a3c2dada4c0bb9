/**
 * State of an entry's graceful shutdown. The process ends at a set time, so each request needs a
 * response before it: the deadline of the shutdown bounds the time that every request has left.
 */
export enum ShutdownPhase {
  None = 'none',
  /** Shutting down; load balancers may not have noticed and still send new connections. */
  Accepting = 'accepting',
  /** New connections are refused; requests still come over open ones. */
  Draining = 'draining',
}

export interface EntryShutdown {
  phase(): ShutdownPhase;
  /** Latest time of a response, on the clock of `now`; infinite while not shutting down. */
  deadline(): number;
  begin(deadline: number): void;
  stopAccepting(): void;
  /** Calls back when the shutdown begins; returns a function that unsubscribes. */
  onBegin(listener: () => void): () => void;
  /** Calls back at the deadline; returns a function that unsubscribes. */
  onDeadline(listener: () => void): () => void;
}

function subscribe(listeners: Set<() => void>, listener: () => void): () => void {
  listeners.add(listener);
  return () => listeners.delete(listener);
}

export function createEntryShutdown(now: () => number): EntryShutdown {
  const beginListeners = new Set<() => void>();
  const deadlineListeners = new Set<() => void>();
  let phase = ShutdownPhase.None;
  let deadline = Infinity;

  return {
    phase: () => phase,
    deadline: () => deadline,
    begin(until) {
      phase = ShutdownPhase.Accepting;
      deadline = until;
      for (const listener of [...beginListeners]) listener();
      setTimeout(
        () => {
          for (const listener of [...deadlineListeners]) listener();
        },
        Math.max(0, until - now()),
      ).unref();
    },
    stopAccepting() {
      phase = ShutdownPhase.Draining;
    },
    onBegin: (listener) => subscribe(beginListeners, listener),
    onDeadline: (listener) => subscribe(deadlineListeners, listener),
  };
}
