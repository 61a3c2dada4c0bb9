/**
 * The id of a server-sent event: `<request>~<instance>/<offset>`. The instance names the
 * sidecar that holds the answer, so that any entry can resume it although the entry that
 * chose the sidecar is gone. Callers treat all of it as opaque.
 */
export interface EventId {
  readonly requestId: string;
  readonly instanceId: string;
  readonly offset: number;
}

const PATTERN = /^([A-Za-z0-9_-]{8,64})~([A-Za-z0-9][A-Za-z0-9._-]{0,62})\/(\d{1,9})$/;

export function formatEventId({ requestId, instanceId, offset }: EventId): string {
  return `${requestId}~${instanceId}/${offset}`;
}

export function parseEventId(text: string): EventId | undefined {
  const match = PATTERN.exec(text);
  if (match === null) return undefined;
  return {
    requestId: match[1],
    instanceId: match[2],
    offset: Number(match[3]),
  };
}
