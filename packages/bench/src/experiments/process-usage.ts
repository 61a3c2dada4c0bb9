/**
 * Processor time, memory and bytes of a process, from the operating system's own counters.
 */
import { readFileSync } from 'node:fs';

/** Linux reports processor time in ticks of a hundredth of a second. */
const MILLISECONDS_PER_TICK = 10;
const BYTES_PER_KIB = 1024;
/** Fields of /proc/PID/stat after the command: user time and system time. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

export interface Usage {
  readonly at: number;
  readonly processorMilliseconds: number;
  readonly residentBytes: number;
  /** Bytes written by write calls, TCP included and UDP not. */
  readonly writtenBytes: number;
}

function fieldOf(text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1] ?? 0);
}

export function readUsage(pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  return {
    at: performance.now(),
    processorMilliseconds: ticks * MILLISECONDS_PER_TICK,
    residentBytes: fieldOf(status, 'VmRSS') * BYTES_PER_KIB,
    writtenBytes: fieldOf(io, 'wchar'),
  };
}

export interface UsageRate {
  /** Share of one core, in percent. */
  readonly corePercent: number;
  readonly residentMebibytes: number;
  readonly writtenBytesPerSecond: number;
}

const BYTES_PER_MIB = BYTES_PER_KIB ** 2;
const MILLISECONDS_PER_SECOND = 1000;

export function rateBetween(before: Usage, after: Usage): UsageRate {
  const elapsed = after.at - before.at;
  return {
    corePercent: (100 * (after.processorMilliseconds - before.processorMilliseconds)) / elapsed,
    residentMebibytes: after.residentBytes / BYTES_PER_MIB,
    writtenBytesPerSecond:
      ((after.writtenBytes - before.writtenBytes) * MILLISECONDS_PER_SECOND) / elapsed,
  };
}
