/**
 * One attempt at a stream on one backend server. Whole events with contiguous ids are handed
 * on; anything else ends the attempt.
 */
import type { BackendServer } from '@lapisbridge/catalog';

import { describeRefusal, findHeadFault, isSuccess, provesNotRun } from './response-head.js';
import type { ResponseHead } from './caller-protocol.js';
import { createEventSplitter } from './event-splitter.js';
import type { StreamEvent } from './event-splitter.js';
import { ExchangeEndKind } from './exchange.js';
import type { Exchange, ExchangeEnd } from './exchange.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import { openForwardExchange } from './open-forward.js';
import { judgeRefusal, Verdict } from './server-ledger.js';

export enum StreamEndKind {
  /** The server's stream came to its proper end. */
  Complete = 'complete',
  /** A whole answer that is no stream: a failure the server stands by. */
  Answered = 'answered',
  NotRun = 'notRun',
  /** May have run, and broke off. */
  Broken = 'broken',
}

export type StreamEnd =
  | { readonly kind: StreamEndKind.Complete }
  | { readonly kind: StreamEndKind.Answered; readonly head: ResponseHead; readonly body: Buffer }
  | {
      readonly kind: StreamEndKind.NotRun;
      readonly reason: string;
      readonly wasRefused: boolean;
      /** Refused since another server of its lock-step group is at fault. */
      readonly isGroupBroken: boolean;
    }
  | { readonly kind: StreamEndKind.Broken; readonly reason: string };

export interface StreamSink {
  /** Last event that the caller has. */
  lastEventId(): number | undefined;
  /** Takes one event in order; false asks to pause until `onDrain`. */
  onEvent(head: ResponseHead, event: StreamEvent): boolean;
  onDrain(listener: () => void): void;
}

export interface StreamAttempt {
  readonly end: Promise<StreamEnd>;
  cancel(reason: string): void;
}

/** Events of one chunk or more that were already delivered are dropped; a gap ends the attempt. */
enum Sequence {
  Next = 'next',
  Known = 'known',
  Gap = 'gap',
}

export function checkSequence(last: number | undefined, id: number | undefined): Sequence {
  if (id === undefined || last === undefined) return Sequence.Next;
  if (id <= last) return Sequence.Known;
  return id === last + 1 ? Sequence.Next : Sequence.Gap;
}

/** Largest body of a failure that is held to be passed on whole. */
const MAXIMUM_FAILURE_BYTES = 1024 * 1024;

export function startStreamAttempt(
  context: ForwardContext,
  accepted: AcceptedRequest,
  server: BackendServer,
  sink: StreamSink,
  isMoved: boolean,
): StreamAttempt {
  const { ledger, liveness, protocol, pulse } = context;
  const { request, requestId } = accepted;
  const { promptTokens } = request;
  const startedAt = context.now();
  const splitter = createEventSplitter();
  const failureBody: Buffer[] = [];
  let failureBytes = 0;
  let head: ResponseHead | undefined;
  let doubt: string | undefined;
  let wasAnswered = false;
  let exchange: Exchange | undefined;

  function giveUp(reason: string): void {
    doubt ??= reason;
    exchange?.cancel(reason);
  }

  function takeEvent(streamHead: ResponseHead, event: StreamEvent): void {
    if (doubt !== undefined) return;
    pulse.beat(accepted.service, server.instanceId);
    liveness.heard(server.instanceId);
    switch (checkSequence(sink.lastEventId(), event.id)) {
      case Sequence.Known:
        return;
      case Sequence.Gap:
        giveUp(`event ${event.id} after ${sink.lastEventId()}`);
        return;
      case Sequence.Next:
        break;
      default:
        return;
    }
    if (!wasAnswered) {
      wasAnswered = true;
      ledger.answered(server.instanceId, context.now() - startedAt, promptTokens);
    }
    if (!sink.onEvent(streamHead, event)) {
      exchange?.pause();
      sink.onDrain(() => exchange?.resume());
    }
  }

  function takeData(chunk: Buffer): void {
    if (head === undefined || doubt !== undefined) return;
    if (isSuccess(head.status)) {
      for (const event of splitter.push(chunk)) takeEvent(head, event);
      return;
    }
    failureBytes += chunk.length;
    if (failureBytes > MAXIMUM_FAILURE_BYTES) giveUp('failure too large');
    else failureBody.push(chunk);
  }

  function judge(end: ExchangeEnd): StreamEnd {
    if (end.kind === ExchangeEndKind.NotSent) {
      return {
        kind: StreamEndKind.NotRun,
        reason: end.reason,
        wasRefused: false,
        isGroupBroken: false,
      };
    }
    if (doubt !== undefined) return { kind: StreamEndKind.Broken, reason: doubt };
    if (end.kind !== ExchangeEndKind.Complete || head === undefined) {
      return { kind: StreamEndKind.Broken, reason: end.reason };
    }
    if (provesNotRun(head)) {
      const isGroupBroken =
        !head.isMisdirected &&
        server.groupRank !== undefined &&
        head.faultyAddress !== undefined &&
        head.faultyAddress !== `${server.host}:${server.port}`;
      return {
        kind: StreamEndKind.NotRun,
        reason: describeRefusal(head),
        wasRefused: !head.isMisdirected,
        isGroupBroken,
      };
    }
    if (!isSuccess(head.status)) {
      return { kind: StreamEndKind.Answered, head, body: Buffer.concat(failureBody) };
    }
    if (splitter.hasRest()) return { kind: StreamEndKind.Broken, reason: 'ended within an event' };
    if (!wasAnswered) return { kind: StreamEndKind.Broken, reason: 'ended without an event' };
    return { kind: StreamEndKind.Complete };
  }

  /** A stream that is given up says nothing of a server with a queue, unless it gives no sign of life. */
  function verdictOfBroken(exchangeEnd: ExchangeEnd): Verdict {
    if (exchangeEnd.kind !== ExchangeEndKind.Cancelled || doubt !== undefined)
      return Verdict.Failing;
    if (liveness.isSilent(server)) return Verdict.Failing;
    return wasAnswered ? Verdict.Sound : Verdict.Open;
  }

  function verdictOf(end: StreamEnd, exchangeEnd: ExchangeEnd): Verdict {
    switch (end.kind) {
      case StreamEndKind.Complete:
        return Verdict.Sound;
      case StreamEndKind.Answered:
        return end.head.status < 500 ? Verdict.Sound : Verdict.Failing;
      case StreamEndKind.NotRun:
        if (end.isGroupBroken) return Verdict.Open;
        return end.wasRefused ? judgeRefusal(ledger.hasRoom(server)) : Verdict.Failing;
      case StreamEndKind.Broken:
        return verdictOfBroken(exchangeEnd);
      default: {
        const unreachable: never = end;
        return unreachable;
      }
    }
  }

  ledger.sent(server.instanceId, promptTokens);
  context.coldShare.noteSent(server.instanceId);
  context.statements.noteSent(server.instanceId);
  const end = new Promise<StreamEnd>((resolve) => {
    exchange = openForwardExchange(
      { context, accepted, server, lastEventId: sink.lastEventId(), isMoved },
      {
        onHead(incoming) {
          liveness.heard(server.instanceId);
          head = protocol.decodeResponseHead(incoming);
          if (head.load !== undefined) ledger.reported(server.instanceId, head.load);
          context.statements.onAnswer({ server, head, requestId, sentAt: startedAt });
          if (provesNotRun(head)) return;
          const doubted = findHeadFault(head, requestId);
          if (doubted !== undefined) giveUp(doubted);
        },
        onData: takeData,
        onEnd(exchangeEnd) {
          const judged = judge(exchangeEnd);
          const isCancelled = exchangeEnd.kind === ExchangeEndKind.Cancelled;
          if (isCancelled && head === undefined) context.metrics.countUnansweredSend();
          const verdict = verdictOf(judged, exchangeEnd);
          ledger.ended(server.instanceId, verdict, promptTokens, wasAnswered);
          resolve(judged);
        },
      },
    );
  });
  return { end, cancel: (reason) => exchange?.cancel(reason) };
}
