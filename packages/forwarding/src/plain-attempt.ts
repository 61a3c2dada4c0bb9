/**
 * One attempt at a request whose response is forwarded as a whole. The response is buffered until
 * it is complete, so that a truncated one can still be retried where the request allows it.
 */
import type { IncomingMessage } from 'node:http';

import type { BackendServer } from '@lapisbridge/catalog';

import type { ResponseHead } from './caller-protocol.js';
import { describeRefusal, findHeadFault, provesNotRun } from './response-head.js';
import { toAttemptEnd } from './attempt-end.js';
import { ExchangeEndKind } from './exchange.js';
import type { Exchange, ExchangeEnd } from './exchange.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import { openForwardExchange } from './open-forward.js';
import { lateThresholdMilliseconds } from './late-answer.js';
import { OutcomeKind } from './outcome.js';
import type { Outcome } from './outcome.js';
import type { AttemptContent } from './server-end-detector.js';
import type { ResponseBuffer } from './response-buffers.js';
import { verdictOfRefusal, Verdict } from './server-load-tracker.js';

export interface PlainAttempt {
  readonly server: BackendServer;
  readonly outcome: Promise<Outcome>;
  /** See `WatchedAttempt`. */
  readonly settled: Promise<void>;
  cancel(reason: string): void;
}

function toOutcome(
  end: ExchangeEnd,
  head: ResponseHead | undefined,
  body: Buffer,
  requestId: string,
): Outcome {
  switch (end.kind) {
    case ExchangeEndKind.NotSent:
      return { kind: OutcomeKind.NotRun, reason: end.reason, wasRefused: false, wasSent: false };
    case ExchangeEndKind.Incomplete:
    case ExchangeEndKind.Cancelled:
      return { kind: OutcomeKind.Unknown, reason: end.reason };
    case ExchangeEndKind.Complete: {
      if (head === undefined) return { kind: OutcomeKind.Unknown, reason: 'no response head' };
      if (provesNotRun(head, requestId)) {
        return {
          kind: OutcomeKind.NotRun,
          reason: describeRefusal(head),
          wasRefused: !head.isMisdirected,
          wasSent: true,
        };
      }
      const headFault = findHeadFault(head, requestId);
      if (headFault !== undefined) return { kind: OutcomeKind.Unknown, reason: headFault };
      return { kind: OutcomeKind.Answered, head, body };
    }
    default: {
      const unreachable: never = end.kind;
      return unreachable;
    }
  }
}

function declaredBytesOf({ headers }: IncomingMessage): number | undefined {
  const length = headers['content-length'];
  return length === undefined ? undefined : Number(length);
}

/** What an outcome says about the server; `hasFreeSlot` decides what a refusal says. */
function classifyOutcome(outcome: Outcome, hasFreeSlot: boolean): Verdict {
  switch (outcome.kind) {
    case OutcomeKind.Answered:
      return outcome.head.status < 500 ? Verdict.Healthy : Verdict.Failing;
    case OutcomeKind.NotRun:
      return outcome.wasRefused ? verdictOfRefusal(hasFreeSlot) : Verdict.Failing;
    case OutcomeKind.Unknown:
      return Verdict.Failing;
    default: {
      const unreachable: never = outcome;
      return unreachable;
    }
  }
}

export function startPlainAttempt(
  context: ForwardContext,
  accepted: AcceptedRequest,
  server: BackendServer,
  content: AttemptContent,
): PlainAttempt {
  const { ledger, liveness, protocol } = context;
  const { request, requestId } = accepted;
  const startedAt = context.now();
  const watched = context.serverEnds.watch(server, content, (reason) => exchange?.cancel(reason));
  let head: ResponseHead | undefined;
  let isTooLarge = false;
  let exchange: Exchange | undefined;
  let responseBuffer: ResponseBuffer | undefined;

  /**
   * What a cancelled attempt says about the server. Only the time it was given tells a hanging
   * server from a healthy one.
   */
  function classifyCancelled(): Verdict {
    if (isTooLarge) return Verdict.Failing;
    if (head !== undefined) return Verdict.Healthy;
    const isLate = context.now() - startedAt >= lateThresholdMilliseconds(accepted.route);
    return isLate ? Verdict.Failing : Verdict.Inconclusive;
  }

  ledger.recordSent(server.instanceId, 0);
  context.coldShare.recordSent(server.instanceId);
  context.statements.recordSent(server.instanceId);
  const outcome = new Promise<Outcome>((resolve) => {
    exchange = openForwardExchange(
      { context, accepted, server, lastEventId: request.lastEventId, isMoved: false },
      {
        onHead(incoming) {
          liveness.recordContact(server.instanceId);
          watched.onContact();
          head = protocol.decodeResponseHead(incoming);
          responseBuffer = context.responseBuffers.open(declaredBytesOf(incoming), () => {
            isTooLarge = true;
            exchange?.cancel('response too large');
          });
          if (head.load !== undefined) ledger.recordReport(server.instanceId, head.load);
          context.statements.onAnswer({ server, head, requestId, sentAt: startedAt });
        },
        onData(chunk) {
          responseBuffer?.append(chunk);
        },
        onEnd(end) {
          const attemptOutcome = toOutcome(
            end,
            head,
            responseBuffer?.take() ?? Buffer.alloc(0),
            requestId,
          );
          const isCancelled = end.kind === ExchangeEndKind.Cancelled;
          if (isCancelled && head === undefined) context.metrics.countUnansweredSend();
          const wasAnswered = attemptOutcome.kind === OutcomeKind.Answered;
          if (wasAnswered) ledger.recordAnswer(server.instanceId, context.now() - startedAt, 0);
          const verdict = isCancelled
            ? classifyCancelled()
            : classifyOutcome(attemptOutcome, ledger.hasFreeSlot(server));
          ledger.recordEnd(server.instanceId, verdict, 0, wasAnswered);
          if (wasAnswered) {
            watched.onProgress();
            watched.onAnswered();
          }
          watched.onEnd(toAttemptEnd(end.kind));
          resolve(attemptOutcome);
        },
      },
    );
  });
  return {
    server,
    outcome,
    settled: watched.settled,
    cancel: (reason) => exchange?.cancel(reason),
  };
}
