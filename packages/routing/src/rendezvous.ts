/**
 * Rendezvous hashing: every process ranks the same names in the same order for a key without a
 * shared table, and the loss of a name moves only the keys that were assigned to it.
 */
import createXxhash from 'xxhash-wasm';

const xxhash = await createXxhash();

export function rendezvousWeight(key: string, name: string): number {
  return xxhash.h32(`${key}\u0000${name}`);
}

/** Names in order of preference for a key; equal weights are ordered by name. */
export function rendezvousOrder(key: string, names: readonly string[]): string[] {
  const weighted = names.map((name) => ({ name, weight: rendezvousWeight(key, name) }));
  weighted.sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1));
  return weighted.map(({ name }) => name);
}
