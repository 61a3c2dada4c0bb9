/**
 * One attempt at a stream on one backend server. Complete events with contiguous ids are
 * forwarded; anything else ends the attempt.
 */
import type { BackendServer } from '@lapisbridge/catalog';

import { toAttemptEnd } from './attempt-end.js';
import { createByteCollector } from './byte-collector.js';
import { describeRefusal, findHeadFault, isSuccess, provesNotRun } from './response-head.js';
import type { ResponseHead } from './caller-protocol.js';
import { createEventSplitter } from './event-splitter.js';
import type { StreamEvent } from './event-splitter.js';
import { ExchangeEndKind } from './exchange.js';
import type { Exchange, ExchangeEnd } from './exchange.js';
import type { AcceptedRequest, ForwardContext } from './forward-context.js';
import { openForwardExchange } from './open-forward.js';
import type { AttemptContent } from './server-end-detector.js';
import { verdictOfRefusal, Verdict } from './server-load-tracker.js';

export enum StreamEndKind {
  /** The server completed its stream. */
  Complete = 'complete',
  /** A complete response other than a stream: an error that the server reports. */
  Answered = 'answered',
  NotRun = 'notRun',
  /** The stream may have run, and ended early. */
  Incomplete = 'broken',
}

export type StreamEnd =
  | { readonly kind: StreamEndKind.Complete }
  | { readonly kind: StreamEndKind.Answered; readonly head: ResponseHead; readonly body: Buffer }
  | {
      readonly kind: StreamEndKind.NotRun;
      readonly reason: string;
      readonly wasRefused: boolean;
      /** Whether the request may have left this process. */
      readonly wasSent: boolean;
      /** Refused because another server of its lock-step group failed. */
      readonly isGroupBroken: boolean;
    }
  | { readonly kind: StreamEndKind.Incomplete; readonly reason: string };

export interface StreamSink {
  /** Id of the last event that the caller received. */
  lastEventId(): number | undefined;
  /** Receives the events in order; returns false to pause until `onDrain`. */
  onEvent(head: ResponseHead, event: StreamEvent): boolean;
  onDrain(listener: () => void): void;
}

export interface StreamAttempt {
  readonly server: BackendServer;
  readonly end: Promise<StreamEnd>;
  /** See `WatchedAttempt`. */
  readonly settled: Promise<void>;
  cancel(reason: string): void;
  /** Ends the attempt because its server does not respond, which counts against the server. */
  abandon(reason: string): void;
}

/** How an event follows the last one delivered: duplicates are dropped, a gap ends the attempt. */
enum EventOrder {
  Next = 'next',
  Duplicate = 'known',
  Gap = 'gap',
}

export function classifyEventId(
  lastEventId: number | undefined,
  id: number | undefined,
): EventOrder {
  if (id === undefined || lastEventId === undefined) return EventOrder.Next;
  if (id <= lastEventId) return EventOrder.Duplicate;
  return id === lastEventId + 1 ? EventOrder.Next : EventOrder.Gap;
}

/** A server may end while it writes the first event. */
const EVENTS_OF_PROGRESS = 2;

/** Largest error body that is buffered to be forwarded as a whole. */
const MAXIMUM_ERROR_BODY_BYTES = 256 * 1024;

export function startStreamAttempt(
  context: ForwardContext,
  accepted: AcceptedRequest,
  server: BackendServer,
  content: AttemptContent,
  sink: StreamSink,
  isMoved: boolean,
): StreamAttempt {
  const { ledger, liveness, protocol, pulse } = context;
  const group = server.groupRank?.group;
  const { request, requestId } = accepted;
  const { promptTokens } = request;
  const startedAt = context.now();
  const resumedAfter = sink.lastEventId();
  const watched = context.serverEnds.watch(server, content, (reason) => exchange?.cancel(reason));
  const passes = context.groupPasses.watch(server.groupRank?.group);
  const splitter = createEventSplitter();
  const errorBody = createByteCollector();
  let head: ResponseHead | undefined;
  let fault: string | undefined;
  let eventCount = 0;
  let isPaused = false;
  let exchange: Exchange | undefined;

  function abandon(reason: string): void {
    fault ??= reason;
    exchange?.cancel(reason);
  }

  function handleEvent(streamHead: ResponseHead, event: StreamEvent): void {
    if (fault !== undefined) return;
    pulse.recordEvent(accepted.service, server.instanceId);
    liveness.recordContact(server.instanceId);
    watched.onContact();
    switch (classifyEventId(sink.lastEventId(), event.id)) {
      case EventOrder.Duplicate:
        return;
      case EventOrder.Gap:
        abandon(`event ${event.id} after ${sink.lastEventId()}`);
        return;
      case EventOrder.Next:
        break;
      default:
        return;
    }
    eventCount += 1;
    const gapMilliseconds = passes.onEvent();
    if (gapMilliseconds !== undefined && group !== undefined) {
      context.groupConcurrency.recordEventGap(group, gapMilliseconds);
    }
    if (eventCount === EVENTS_OF_PROGRESS) watched.onProgress();
    if (eventCount === 1) {
      ledger.recordAnswer(server.instanceId, context.now() - startedAt, promptTokens);
    }
    if (!sink.onEvent(streamHead, event)) {
      passes.onPause();
      pauseUntilDrained();
    }
  }

  function pauseUntilDrained(): void {
    if (isPaused) return;
    isPaused = true;
    exchange?.pause();
    watched.onPause();
    sink.onDrain(() => {
      isPaused = false;
      watched.onResume();
      exchange?.resume();
    });
  }

  function handleData(chunk: Buffer): void {
    if (head === undefined || fault !== undefined) return;
    if (isSuccess(head.status)) {
      for (const event of splitter.push(chunk)) handleEvent(head, event);
      if (splitter.isOverflowing()) abandon('no event within the largest size of one');
      return;
    }
    if (errorBody.length() + chunk.length > MAXIMUM_ERROR_BODY_BYTES)
      abandon('error response too large');
    else errorBody.append(chunk);
  }

  function toStreamEnd(end: ExchangeEnd): StreamEnd {
    if (end.kind === ExchangeEndKind.NotSent) {
      return {
        kind: StreamEndKind.NotRun,
        reason: end.reason,
        wasRefused: false,
        wasSent: false,
        isGroupBroken: false,
      };
    }
    if (fault !== undefined) return { kind: StreamEndKind.Incomplete, reason: fault };
    if (end.kind !== ExchangeEndKind.Complete || head === undefined) {
      return { kind: StreamEndKind.Incomplete, reason: end.reason };
    }
    if (provesNotRun(head, requestId)) {
      const isGroupBroken =
        !head.isMisdirected &&
        server.groupRank !== undefined &&
        head.faultyAddress !== undefined &&
        head.faultyAddress !== `${server.host}:${server.port}`;
      return {
        kind: StreamEndKind.NotRun,
        reason: describeRefusal(head),
        wasRefused: !head.isMisdirected,
        wasSent: true,
        isGroupBroken,
      };
    }
    if (!isSuccess(head.status)) {
      return { kind: StreamEndKind.Answered, head, body: errorBody.take() };
    }
    if (splitter.hasPartialEvent())
      return { kind: StreamEndKind.Incomplete, reason: 'stream ended within an event' };
    if (eventCount === 0)
      return { kind: StreamEndKind.Incomplete, reason: 'stream ended without an event' };
    return { kind: StreamEndKind.Complete };
  }

  /** A server that only resumed the stream has not run what ended others before it. */
  function isWholeAnswer({ kind }: StreamEnd): boolean {
    if (kind === StreamEndKind.Answered) return true;
    return kind === StreamEndKind.Complete && resumedAfter === undefined;
  }

  /** A cancelled stream says nothing about a server with a queue, unless the server is silent. */
  function classifyIncomplete(exchangeEnd: ExchangeEnd): Verdict {
    if (exchangeEnd.kind !== ExchangeEndKind.Cancelled || fault !== undefined)
      return Verdict.Failing;
    if (liveness.isSilent(server)) return Verdict.Failing;
    return eventCount > 0 ? Verdict.Healthy : Verdict.Inconclusive;
  }

  function classifyEnd(end: StreamEnd, exchangeEnd: ExchangeEnd): Verdict {
    switch (end.kind) {
      case StreamEndKind.Complete:
        return Verdict.Healthy;
      case StreamEndKind.Answered:
        return end.head.status < 500 ? Verdict.Healthy : Verdict.Failing;
      case StreamEndKind.NotRun:
        if (end.isGroupBroken) return Verdict.Inconclusive;
        return end.wasRefused ? verdictOfRefusal(ledger.hasFreeSlot(server)) : Verdict.Failing;
      case StreamEndKind.Incomplete:
        return classifyIncomplete(exchangeEnd);
      default: {
        const unreachable: never = end;
        return unreachable;
      }
    }
  }

  ledger.recordSent(server.instanceId, promptTokens);
  context.coldShare.recordSent(server.instanceId);
  context.statements.recordSent(server.instanceId);
  const end = new Promise<StreamEnd>((resolve) => {
    exchange = openForwardExchange(
      { context, accepted, server, lastEventId: resumedAfter, isMoved },
      {
        onHead(incoming) {
          liveness.recordContact(server.instanceId);
          watched.onContact();
          head = protocol.decodeResponseHead(incoming);
          if (head.load !== undefined) ledger.recordReport(server.instanceId, head.load);
          context.statements.onAnswer({ server, head, requestId, sentAt: startedAt });
          if (provesNotRun(head, requestId)) return;
          const headFault = findHeadFault(head, requestId);
          if (headFault !== undefined) abandon(headFault);
        },
        onData: handleData,
        onEnd(exchangeEnd) {
          passes.onEnd();
          const streamEnd = toStreamEnd(exchangeEnd);
          const isCancelled = exchangeEnd.kind === ExchangeEndKind.Cancelled;
          if (isCancelled && head === undefined) context.metrics.countUnansweredSend();
          const verdict = classifyEnd(streamEnd, exchangeEnd);
          ledger.recordEnd(server.instanceId, verdict, promptTokens, eventCount > 0);
          if (streamEnd.kind === StreamEndKind.Complete) watched.onProgress();
          if (isWholeAnswer(streamEnd)) watched.onAnswered();
          watched.onEnd(toAttemptEnd(exchangeEnd.kind));
          resolve(streamEnd);
        },
      },
    );
  });
  return {
    server,
    end,
    settled: watched.settled,
    cancel: (reason) => exchange?.cancel(reason),
    abandon,
  };
}
