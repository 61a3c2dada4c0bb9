/**
 * Lists what differs between two documents, by JSON path. Lists of named elements are
 * compared by name, so that a new element in the middle is one line and not many.
 */
export enum DifferenceKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}

export interface Difference {
  readonly kind: DifferenceKind;
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function keyOf(element: unknown): string | undefined {
  if (!isRecord(element)) return undefined;
  const key = element.name ?? element.path;
  return typeof key === 'string' ? key : undefined;
}

/** Turns a list of named elements into a record, so that order does not count as a difference. */
function asRecord(value: unknown): Record<string, unknown> | undefined {
  if (isRecord(value)) return value;
  if (!Array.isArray(value)) return undefined;
  const entries: [string, unknown][] = [];
  for (const element of value) {
    const key = keyOf(element);
    if (key === undefined) return undefined;
    entries.push([`[${key}]`, element]);
  }
  return Object.fromEntries(entries);
}

export function diffDocuments(before: unknown, after: unknown, path = '$'): Difference[] {
  if (before === undefined) return [{ kind: DifferenceKind.Added, path, after }];
  if (after === undefined) return [{ kind: DifferenceKind.Removed, path, before }];
  const left = asRecord(before);
  const right = asRecord(after);
  if (left === undefined || right === undefined) {
    if (JSON.stringify(before) === JSON.stringify(after)) return [];
    return [{ kind: DifferenceKind.Changed, path, before, after }];
  }
  const differences: Difference[] = [];
  for (const key of new Set([...Object.keys(left), ...Object.keys(right)])) {
    const separator = key.startsWith('[') ? '' : '.';
    differences.push(...diffDocuments(left[key], right[key], `${path}${separator}${key}`));
  }
  return differences;
}
