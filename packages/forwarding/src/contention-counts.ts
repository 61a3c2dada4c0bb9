/**
 * Counts what contention did to streams, for metrics.
 */
import { ContentionKind } from './admit-stream.js';

export interface ContentionCounts {
  /** Records one check of a stream that found the service short of capacity. */
  record(kind: ContentionKind): void;
  /** Checks at which a stream was held because passes were long. */
  holds(): number;
  /** Streams that were refused because their priority class gave way. */
  refusals(): number;
}

export function createContentionCounts(): ContentionCounts {
  let holds = 0;
  let refusals = 0;
  return {
    record(kind) {
      switch (kind) {
        case ContentionKind.LongPasses:
          holds += 1;
          break;
        case ContentionKind.ClassGivesWay:
          refusals += 1;
          break;
        default: {
          const unreachable: never = kind;
          throw new Error(String(unreachable));
        }
      }
    },
    holds: () => holds,
    refusals: () => refusals,
  };
}
