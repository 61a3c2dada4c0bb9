/**
 * Splits a stream of server-sent events into complete events. A backend server may stop in the
 * middle of an event. The partial event must never reach the caller, or the event that a resumed
 * stream sends again would be appended to it.
 */
export interface StreamEvent {
  /** Undefined when the event has no id. */
  readonly id: number | undefined;
  /** The event including its closing blank line, byte for byte. */
  readonly bytes: Buffer;
}

export interface EventSplitter {
  push(chunk: Buffer): StreamEvent[];
  /** Whether bytes of an incomplete event are buffered. */
  hasPartialEvent(): boolean;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Index after the blank line that ends the first event; -1 when the event is incomplete. */
function findEventEnd(bytes: Buffer, from: number): number {
  let position = bytes.indexOf(LINE_FEED, from);
  while (position >= 0) {
    let nextLineStart = position + 1;
    if (bytes[nextLineStart] === CARRIAGE_RETURN) nextLineStart += 1;
    if (bytes[nextLineStart] === LINE_FEED) return nextLineStart + 1;
    position = bytes.indexOf(LINE_FEED, position + 1);
  }
  return -1;
}

function readId(bytes: Buffer): number | undefined {
  const match = /^id: ?(\d+)\r?$/m.exec(bytes.toString('latin1'));
  return match === null ? undefined : Number(match[1]);
}

export function createEventSplitter(): EventSplitter {
  let partialEvent: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      const bytes = partialEvent.length === 0 ? chunk : Buffer.concat([partialEvent, chunk]);
      const events: StreamEvent[] = [];
      let start = 0;
      for (;;) {
        const end = findEventEnd(bytes, start);
        if (end < 0) break;
        const event = bytes.subarray(start, end);
        events.push({ id: readId(event), bytes: event });
        start = end;
      }
      partialEvent = bytes.subarray(start);
      return events;
    },
    hasPartialEvent: () => partialEvent.length > 0,
  };
}
