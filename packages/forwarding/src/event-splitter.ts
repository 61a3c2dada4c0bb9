/**
 * Splits a stream of server-sent events into complete events. A backend server may stop in the
 * middle of an event. The partial event must never reach the caller, or the event that a resumed
 * stream sends again would be appended to it. Each byte is searched once, and a bounded number is
 * buffered, however much a server sends.
 */
import { createByteCollector } from './byte-collector.js';

export interface StreamEvent {
  /** Undefined when the event has no id. */
  readonly id: number | undefined;
  /** The event including its closing blank line, byte for byte. */
  readonly bytes: Buffer;
}

export interface EventSplitter {
  /** Returns the events that the chunk completes. Blocks that hold only comments are left out. */
  push(chunk: Buffer): StreamEvent[];
  /** Whether bytes of an incomplete event are buffered. */
  hasPartialEvent(): boolean;
  /** Whether more than the largest allowed event has arrived since the last event. */
  isOverflowing(): boolean;
}

/** Largest event, with the comments before it. Events of generated text have some 100 bytes. */
export const MAXIMUM_EVENT_BYTES = 128 * 1024;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COMMENTS_ONLY = /^(?::[^\n]*\n|\r?\n)*$/;

function readId(text: string): number | undefined {
  const match = /^id: ?(\d+)\r?$/m.exec(text);
  return match === null ? undefined : Number(match[1]);
}

export function createEventSplitter(): EventSplitter {
  const partialEvent = createByteCollector();
  let bytesSinceEvent = 0;

  /** Index after the blank line that ends the event; -1 when the event is incomplete. */
  function findEventEnd(chunk: Buffer, from: number): number {
    const byteBefore = (position: number): number | undefined =>
      position > from ? chunk[position - 1] : partialEvent.fromEnd(from - position);
    let position = chunk.indexOf(LINE_FEED, from);
    while (position >= 0) {
      const previous = byteBefore(position);
      const lineEnd = previous === CARRIAGE_RETURN ? byteBefore(position - 1) : previous;
      if (lineEnd === LINE_FEED) return position + 1;
      position = chunk.indexOf(LINE_FEED, position + 1);
    }
    return -1;
  }

  function completeEvent(rest: Buffer): StreamEvent | undefined {
    let bytes = rest;
    if (partialEvent.length() > 0) {
      partialEvent.append(rest);
      bytes = partialEvent.take();
    }
    const text = bytes.toString('latin1');
    return COMMENTS_ONLY.test(text) ? undefined : { id: readId(text), bytes };
  }

  return {
    push(chunk) {
      const events: StreamEvent[] = [];
      let start = 0;
      while (start < chunk.length) {
        const end = findEventEnd(chunk, start);
        const rest = chunk.subarray(start, end < 0 ? undefined : end);
        bytesSinceEvent += rest.length;
        if (bytesSinceEvent > MAXIMUM_EVENT_BYTES) return events;
        start += rest.length;
        if (end < 0) {
          partialEvent.append(rest);
          return events;
        }
        const event = completeEvent(rest);
        if (event === undefined) continue;
        bytesSinceEvent = 0;
        events.push(event);
      }
      return events;
    },
    hasPartialEvent: () => partialEvent.length() > 0,
    isOverflowing: () => bytesSinceEvent > MAXIMUM_EVENT_BYTES,
  };
}
