/**
 * A cache of prompt prefixes in limited memory: blocks of characters, least recently used
 * dropped first.
 */
const BLOCK_CHARACTERS = 64;

export interface PrefixCache {
  /** Notes a prompt and tells how many of its blocks were not cached. */
  use(prompt: string): number;
  clear(): void;
}

export function createPrefixCache(maximumBlocks: number): PrefixCache {
  const blocks = new Set<string>();

  function touch(key: string): boolean {
    const known = blocks.delete(key);
    blocks.add(key);
    if (blocks.size > maximumBlocks) blocks.delete(blocks.values().next().value as string);
    return known;
  }

  return {
    use(prompt) {
      let missing = 0;
      for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
        if (!touch(prompt.slice(0, end)) || missing > 0) missing += 1;
      }
      return missing;
    },
    clear: () => blocks.clear(),
  };
}
