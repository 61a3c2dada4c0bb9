/**
 * Runs one stand-in as a process: `main.js KIND OPTIONS`, where OPTIONS is JSON.
 */
import { startEngine } from './engine.js';
import type { EngineOptions } from './engine.js';
import { startPlainService } from './plain-service.js';
import type { PlainServiceOptions } from './plain-service.js';
import { startPlatform } from './platform.js';
import type { PlatformOptions } from './platform.js';
import { startRankGroup } from './rank-group.js';
import type { RankGroupOptions } from './rank-group.js';
import { StandInKind } from './stand-in-kind.js';

async function start(kind: StandInKind, options: unknown): Promise<void> {
  switch (kind) {
    case StandInKind.Platform:
      return startPlatform(options as PlatformOptions);
    case StandInKind.Engine:
      return startEngine(options as EngineOptions);
    case StandInKind.PlainService:
      return startPlainService(options as PlainServiceOptions);
    case StandInKind.RankGroup:
      return startRankGroup(options as RankGroupOptions);
    default: {
      const unreachable: never = kind;
      throw new Error(`unknown stand-in ${String(unreachable)}`);
    }
  }
}

const [kind = '', options = '{}'] = process.argv.slice(2);
await start(kind as StandInKind, JSON.parse(options));
process.once('SIGTERM', () => process.exit(0));
