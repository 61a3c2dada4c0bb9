/**
 * What the handlers of callers' requests share.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { ClientGuard } from '@lapisbridge/client-limits';
import type { EnvironmentDocument } from '@lapisbridge/config';
import { LapisError, ResultCode } from '@lapisbridge/errors';
import type { Instance } from '@lapisbridge/instance';

import type { Metrics } from '@lapisbridge/metrics';
import type { Accounts } from '../accounts.js';
import type { CallContext } from '../call-types.js';
import type { InFlightLimits } from '../in-flight-limits.js';
import type { StopDeadline } from '../stop-deadline.js';

export interface CallerOptions {
  readonly instance: Instance;
  readonly guard: ClientGuard;
  readonly accounts: Accounts;
  readonly inFlight: InFlightLimits;
  readonly metrics: Metrics;
  readonly context: CallContext;
  readonly stopDeadline: Pick<StopDeadline, 'requireTime'>;
  /** Whether new callers should come here. */
  isReady(): boolean;
}

/** One request of a caller, with the id that was given to it. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly url: URL;
}

export function headerOf(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Aborted when the caller's connection ends before its answer does. */
export function whenGone(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}

export function requireDocument({ state }: Instance): EnvironmentDocument {
  const document = state.configuration?.document;
  if (document !== undefined) return document;
  throw new LapisError(ResultCode.NotReady, 'no configuration is known here yet');
}
