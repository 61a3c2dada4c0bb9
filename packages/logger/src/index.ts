/**
 * Structured logs by tslog. A daemon writes JSON lines; a terminal gets readable text.
 * Decisions (routing, placement, drains, configuration) are also kept in a bounded ring,
 * so that `lapisbridge explain` can answer without a log store. Keys, prompts and bodies
 * are never passed in here.
 */
import { Logger as TsLogger } from 'tslog';

import type { DecisionRecord } from './decision-ring.js';
import { createDecisionRing } from './decision-ring.js';

export { createBoundedWriter } from './bounded-writer.js';
export type { BoundedWriter } from './bounded-writer.js';
export type { DecisionRecord } from './decision-ring.js';

export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
}

export enum LogFormat {
  Json = 'json',
  Pretty = 'pretty',
}

export type LogFields = Readonly<Record<string, unknown>>;

export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  /** Writes one decision line and keeps it for `explain`. */
  decision(record: Omit<DecisionRecord, 'at'>): void;
  /** Decisions about one subject (a request, group or change id), oldest first. */
  decisionsAbout(subject: string): readonly DecisionRecord[];
}

export interface LoggerOptions {
  readonly level: LogLevel;
  readonly format: LogFormat;
  readonly instanceId: string;
  readonly availabilityZone: string;
  /** Receives each JSON line; standard output when absent. */
  readonly write?: (line: string) => void;
  /** Subjects whose decisions are kept in memory; none where standard output is the record. */
  readonly rememberedSubjects?: number;
}

const TSLOG_LEVELS: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Debug]: 2,
  [LogLevel.Info]: 3,
  [LogLevel.Warn]: 4,
  [LogLevel.Error]: 5,
};

function createSink(options: LoggerOptions): TsLogger<LogFields> {
  const write = options.write ?? ((line: string) => process.stdout.write(line));
  const pretty = options.format === LogFormat.Pretty;
  const sink = new TsLogger<LogFields>({
    type: pretty ? 'pretty' : 'hidden',
    minLevel: TSLOG_LEVELS[options.level],
    hideLogPositionForProduction: true,
  });
  if (pretty) return sink;
  sink.attachTransport((entry) => {
    // tslog stores the positional arguments under '0', '1'… and its own fields under _meta.
    const {
      _meta: meta,
      0: event,
      1: fields,
    } = entry as unknown as {
      _meta: { logLevelName: string; date: Date };
      0: string;
      1?: LogFields;
    };
    const line = {
      time: meta.date.toISOString(),
      level: meta.logLevelName.toLowerCase(),
      instance: options.instanceId,
      availabilityZone: options.availabilityZone,
      event,
      ...fields,
    };
    write(`${JSON.stringify(line)}\n`);
  });
  return sink;
}

/** Creates the logger of one process. */
export function createLogger(options: LoggerOptions): Logger {
  const sink = createSink(options);
  const ring = createDecisionRing(options.rememberedSubjects);
  return {
    debug: (event, fields) => void sink.debug(event, fields),
    info: (event, fields) => void sink.info(event, fields),
    warn: (event, fields) => void sink.warn(event, fields),
    error: (event, fields) => void sink.error(event, fields),
    decision(record) {
      ring.add({ at: new Date().toISOString(), ...record });
      sink.info('decision', record);
    },
    decisionsAbout: (subject) => ring.about(subject),
  };
}

/** A logger that drops everything but keeps decisions; for tests and tools. */
export function createSilentLogger(): Logger {
  return createLogger({
    level: LogLevel.Error,
    format: LogFormat.Json,
    instanceId: 'silent',
    availabilityZone: 'none',
    write: () => undefined,
  });
}
