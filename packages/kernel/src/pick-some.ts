/**
 * Some of a list's items, each with the same chance, in random order.
 */
export function pickSome<T>(items: readonly T[], most: number, random: () => number): T[] {
  const pool = [...items];
  const size = Math.min(most, pool.length);
  for (let index = 0; index < size; index += 1) {
    const other = index + Math.floor(random() * (pool.length - index));
    [pool[index], pool[other]] = [pool[other], pool[index]];
  }
  return pool.slice(0, size);
}
