/**
 * Logs how a request ended, whatever the outcome, in one line. The line holds everything needed to
 * count the request without any other line, so that reports over gigabytes of logs keep no state
 * per request.
 */
import type { AcceptedRequest, ForwardContext } from './forward-context.js';

/** Value of `kind` in the log line that ends a request. */
export enum RequestEndKind {
  Response = 'answer',
  Refusal = 'refusal',
  Failure = 'failure',
  /** The caller disconnected before its response was complete. */
  CallerDisconnected = 'gone',
}

export interface RequestEnd {
  readonly kind: RequestEndKind;
  /** Instance id of the server that responded, or the cause of any other end. */
  readonly choice: string;
  readonly reason: string;
  readonly facts: Readonly<Record<string, string | number | boolean | undefined>>;
}

export function logRequestEnd(
  context: ForwardContext,
  accepted: AcceptedRequest,
  end: RequestEnd,
): void {
  const { requestId, route, service, account, isRetry, arrivedAt } = accepted;
  context.logger.decision({
    kind: end.kind,
    subject: requestId,
    choice: end.choice,
    reason: end.reason,
    facts: {
      ...end.facts,
      route: route.name,
      service,
      account: account?.name,
      isRetry,
      milliseconds: Math.round(context.now() - arrivedAt),
    },
  });
}
