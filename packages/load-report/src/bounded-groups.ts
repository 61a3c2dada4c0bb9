/**
 * Values by name for a bounded number of names: whatever comes after counts as one group, so that
 * logs with ever new names need no more memory.
 */
const MAXIMUM_NAMES = 1000;
const REST = 'all others';

export interface BoundedGroups<Value> {
  at(name: string): Value;
  list(): { readonly name: string; readonly value: Value }[];
}

export function createBoundedGroups<Value>(create: () => Value): BoundedGroups<Value> {
  const groups = new Map<string, Value>();

  function at(name: string): Value {
    const known = groups.get(name);
    if (known !== undefined) return known;
    if (groups.size >= MAXIMUM_NAMES && name !== REST) return at(REST);
    const value = create();
    groups.set(name, value);
    return value;
  }

  return {
    at,
    list: () => [...groups].map(([name, value]) => ({ name, value })),
  };
}
