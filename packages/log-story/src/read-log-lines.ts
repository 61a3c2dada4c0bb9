/**
 * Reads JSON lines as the daemons write them. Tools that gather logs put text before a line, such
 * as an instance's name or a time of their own; it is skipped. Lines that are none are counted, so
 * that a wrong file is noticed.
 */
import { z } from 'zod';

const lineSchema = z.object({
  time: z.string(),
  instance: z.string(),
  availabilityZone: z.string().default(''),
  event: z.string(),
  kind: z.string().optional(),
  subject: z.string().optional(),
  choice: z.string().optional(),
  reason: z.string().optional(),
  facts: z.record(z.string(), z.unknown()).optional(),
});

/** One line of one process. */
export interface LogLine extends z.infer<typeof lineSchema> {
  /** Milliseconds since 1970, by the clock of the instance that wrote it. */
  readonly at: number;
  /** Fields that only some events have. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The contents of one file. */
export interface LogText {
  readonly name: string;
  readonly text: string;
}

export interface ReadLines {
  /** In order of time; lines of one time stay in the order of their files. */
  readonly lines: readonly LogLine[];
  /** Lines that are no log lines. */
  readonly skipped: number;
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Undefined for text that holds no log line. */
export function readLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{"');
  if (start < 0) return undefined;
  const value = parse(text.slice(start));
  const decoded = lineSchema.safeParse(value);
  if (!decoded.success) return undefined;
  const at = Date.parse(decoded.data.time);
  if (Number.isNaN(at)) return undefined;
  return { ...decoded.data, at, fields: value as Record<string, unknown> };
}

export function readLogLines(texts: readonly LogText[]): ReadLines {
  const lines: LogLine[] = [];
  let skipped = 0;
  for (const { text } of texts) {
    for (const row of text.split('\n')) {
      if (row.trim() === '') continue;
      const line = readLogLine(row);
      if (line === undefined) skipped += 1;
      else lines.push(line);
    }
  }
  lines.sort((left, right) => left.at - right.at);
  return { lines, skipped };
}
