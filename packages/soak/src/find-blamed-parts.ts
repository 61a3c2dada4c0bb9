/**
 * Finds in the entries' logs which prompt parts they blame for the crashes of servers.
 */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';

import { parseObject, textOf } from '@lapisbridge/json-call';

import type { Site } from './site.js';

export interface BlamedPart {
  readonly instanceId: string;
  readonly part: string;
}

const EVENT = 'prompt part quarantined';

export function findBlamedParts(site: Site): BlamedPart[] {
  const blamed: BlamedPart[] = [];
  for (const { name } of site.entries) {
    const lines = readFileSync(join(site.folder, `${name}.log`), 'utf8').split('\n');
    for (const line of lines) {
      if (!line.includes(EVENT)) continue;
      const part = textOf(parseObject(Buffer.from(line)) ?? {}, 'part');
      if (part !== undefined) blamed.push({ instanceId: name, part });
    }
  }
  return blamed;
}
