/**
 * Counts what clients lost to each limit, and logs when a limit begins and ceases to matter: one
 * line for each change, however many clients it concerns.
 */
import type { Logger } from '@lapisbridge/logger';

/** Value of the label `cause` in metrics. */
export enum LimitCause {
  /** Too many connections: idle ones were closed, or new ones if there were none. */
  Connections = 'connections',
  Requests = 'requests',
  RequestsPerConnection = 'requestsPerConnection',
  /** Too many bytes of bodies: bodies were refused. */
  BodyBytes = 'bodyBytes',
  /** Too many bytes of incomplete heads: their connections were closed. */
  HeadBytes = 'headBytes',
  /** A body took longer than its client waits for a response. */
  BodyTimeout = 'bodyTimeout',
}

export interface PressureLog {
  record(cause: LimitCause, count?: number): void;
  counts(): ReadonlyMap<LimitCause, number>;
}

export interface PressureLogOptions {
  readonly logger: Logger;
  /** What is held now, for the log lines. */
  facts(): Readonly<Record<string, unknown>>;
  now(): number;
}

/** Time without a further case after which a limit no longer matters. */
const CALM_MILLISECONDS = 5000;
const CHECK_INTERVAL_MILLISECONDS = 1000;

interface Pressure {
  readonly beganAt: number;
  lastAt: number;
  cases: number;
}

export function createPressureLog({ logger, facts, now }: PressureLogOptions): PressureLog {
  const counts = new Map<LimitCause, number>();
  const pressures = new Map<LimitCause, Pressure>();
  let timer: NodeJS.Timeout | undefined;

  function check(): void {
    for (const [cause, { beganAt, lastAt, cases }] of pressures) {
      if (now() - lastAt < CALM_MILLISECONDS) continue;
      pressures.delete(cause);
      const milliseconds = Math.round(lastAt - beganAt);
      logger.info('client limit relieved', { cause, cases, milliseconds });
    }
    if (pressures.size > 0) return;
    clearInterval(timer);
    timer = undefined;
  }

  return {
    record(cause, count = 1) {
      counts.set(cause, (counts.get(cause) ?? 0) + count);
      const pressure = pressures.get(cause);
      if (pressure !== undefined) {
        pressure.lastAt = now();
        pressure.cases += count;
        return;
      }
      pressures.set(cause, { beganAt: now(), lastAt: now(), cases: count });
      logger.warn('client limit reached', { cause, ...facts() });
      timer ??= setInterval(check, CHECK_INTERVAL_MILLISECONDS);
      timer.unref();
    },
    counts: () => counts,
  };
}
