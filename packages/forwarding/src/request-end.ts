/**
 * Writes down how a request ended: one line whatever the outcome, with what is needed to count it
 * without any other line, so that reports over gigabytes of logs need no memory of requests.
 */
import type { AcceptedRequest, ForwardContext } from './forward-context.js';

/** The value of `kind` in a line that ends a request. */
export enum RequestEndKind {
  Response = 'answer',
  Refusal = 'refusal',
  Failure = 'failure',
  /** The caller left before its answer was complete. */
  CallerDisconnected = 'gone',
}

export interface RequestEnd {
  readonly kind: RequestEndKind;
  /** The server that answered, or the cause of another end. */
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
