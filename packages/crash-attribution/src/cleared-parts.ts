/**
 * Remembers the prompt parts that were last seen in answered requests. Callers choose the parts, so
 * the number is bounded; parts in use stay, since each answer renews them.
 */
export interface ClearedParts {
  recordAnswered(part: string, at: number): void;
  /** When a request with the part was last answered; undefined if that is not known. */
  answeredAt(part: string): number | undefined;
}

const MAXIMUM_PARTS = 4096;

export function createClearedParts(): ClearedParts {
  const answeredAt = new Map<string, number>();

  return {
    recordAnswered(part, at) {
      answeredAt.delete(part);
      answeredAt.set(part, at);
      if (answeredAt.size <= MAXIMUM_PARTS) return;
      const oldest = answeredAt.keys().next().value;
      if (oldest !== undefined) answeredAt.delete(oldest);
    },
    answeredAt: (part) => answeredAt.get(part),
  };
}
