/**
 * How an attempt at a backend server ended, for what detects that the server itself has ended.
 */
import { ExchangeEndKind } from './exchange.js';

export enum AttemptEnd {
  /** The connection was lost before the end of the answer. */
  ConnectionLost = 'connectionLost',
  /** This entry cancelled the attempt. */
  Cancelled = 'cancelled',
  Other = 'other',
}

export function toAttemptEnd(kind: ExchangeEndKind): AttemptEnd {
  switch (kind) {
    case ExchangeEndKind.Incomplete:
      return AttemptEnd.ConnectionLost;
    case ExchangeEndKind.Cancelled:
      return AttemptEnd.Cancelled;
    case ExchangeEndKind.Complete:
    case ExchangeEndKind.NotSent:
      return AttemptEnd.Other;
    default: {
      const unreachable: never = kind;
      return unreachable;
    }
  }
}
