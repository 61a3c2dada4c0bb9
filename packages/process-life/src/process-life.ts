/**
 * The life of one process: settings, logs, signals, and faults that would end
 * it. A fault in one request ends that request; the process itself ends only when told to.
 */
import { createBoundedWriter, createLogger, LogFormat, LogLevel } from '@lapisbridge/logger';
import type { BoundedWriter, Logger } from '@lapisbridge/logger';

import { readSettings, SettingsError } from './settings.js';
import type { ProcessSettings } from './settings.js';

export interface ProcessLife {
  /** As read last: bounds and seeds may change while the process runs. */
  settings(): ProcessSettings;
  readonly logger: Logger;
  readonly writer: BoundedWriter;
}

/** Exit code for settings that cannot be used. */
const BAD_SETTINGS = 78;

/** Exit code when an address cannot be bound: another process may hold it for a moment yet. */
const CANNOT_START = 71;

/** The settings file may change without a signal; it is read this often. */
const REREAD_MILLISECONDS = 5000;

/** Reads the settings again at SIGHUP and now and then; bad ones change nothing. */
function followSettings(first: ProcessSettings, logger: Logger): () => ProcessSettings {
  let current = first;

  function reread(cause: string): void {
    try {
      const next = readSettings();
      if (JSON.stringify(next) === JSON.stringify(current)) return;
      current = next;
      logger.info('settings reloaded', { cause });
    } catch (thrown) {
      logger.warn('settings not reloaded', { cause, reason: String(thrown) });
    }
  }

  // Without a handler the signal ends the process.
  process.on('SIGHUP', () => reread('signal'));
  setInterval(() => reread('changed'), REREAD_MILLISECONDS).unref();
  return () => current;
}

export function beginLife(role: string): ProcessLife {
  let settings: ProcessSettings;
  try {
    settings = readSettings();
  } catch (thrown) {
    if (!(thrown instanceof SettingsError) && !(thrown instanceof Error)) throw thrown;
    process.stdout.write(`${JSON.stringify({ event: 'bad settings', reason: thrown.message })}\n`);
    process.exit(BAD_SETTINGS);
  }
  const writer = createBoundedWriter();
  const logger = createLogger({
    level: LogLevel.Info,
    format: LogFormat.Json,
    instanceId: settings.instanceId,
    availabilityZone: settings.availabilityZone,
    write: (line) => writer.write(line),
    rememberedSubjects: 0,
  });
  process.on('uncaughtException', (error) => {
    logger.error('uncaught exception', { reason: error.stack });
  });
  process.on('unhandledRejection', (reason) => {
    logger.error('unhandled rejection', { reason: String(reason) });
  });
  const follow = followSettings(settings, logger);
  logger.info('started', { role, host: settings.host });
  return { settings: follow, logger, writer };
}

/** Ends with one clear line when what the program needs to start cannot be had. */
export async function endUnstarted(life: ProcessLife, thrown: unknown): Promise<never> {
  life.logger.error('cannot start', { reason: String(thrown) });
  await life.writer.flush();
  process.exit(CANNOT_START);
}

/** What a process does between SIGTERM and its end. */
export interface Shutdown {
  /** Resolves when nothing is left to do; the process ends at `endsAt`, on its steady clock. */
  stop(endsAt: number): Promise<void>;
  /** Logs how the shutdown went, just before the end. */
  log?(): void;
}

/** Stops at the first SIGTERM, then ends; at the end of the grace time in any case. */
export function endOnSignal(life: ProcessLife, shutdown: Shutdown): void {
  /** Kept back from the grace time, to write the last lines. */
  const reserveMilliseconds = 500;
  let isStopping = false;
  process.on('SIGTERM', () => {
    if (isStopping) return;
    isStopping = true;
    const { graceMilliseconds } = life.settings();
    const startedAt = performance.now();
    life.logger.info('stopping', { graceMilliseconds });
    const lastsMilliseconds = graceMilliseconds - reserveMilliseconds;
    const limit = new Promise<void>((resolve) => {
      setTimeout(resolve, lastsMilliseconds);
    });
    const stopped = shutdown.stop(startedAt + lastsMilliseconds).catch((thrown: unknown) => {
      life.logger.error('stop failed', { reason: String(thrown) });
      return limit;
    });
    void Promise.race([stopped, limit]).then(async () => {
      shutdown.log?.();
      life.logger.info('stopped', { milliseconds: Math.round(performance.now() - startedAt) });
      await life.writer.flush();
      process.exit(0);
    });
  });
}
