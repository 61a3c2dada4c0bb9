/**
 * Size of the machine that a process runs on: what its settings state, or else what the operating
 * system allows the process.
 */
import { readFileSync } from 'node:fs';
import { totalmem } from 'node:os';
import { getHeapStatistics } from 'node:v8';

export interface MachineSize {
  /** Resident memory at which the process would be ended. */
  readonly memoryBytes: number;
  /** Descriptors that the process may have open. */
  readonly maximumDescriptors: number;
  /** Size to which the JavaScript heap may grow. */
  readonly heapBytes: number;
}

/** What settings state. */
export interface StatedSize {
  readonly memoryMegabytes?: number | undefined;
  readonly maximumDescriptors?: number | undefined;
}

const BYTES_PER_MEGABYTE = 1_000_000;
/** The usual limit where the operating system states none. */
const DEFAULT_DESCRIPTORS = 1024;

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    return '';
  }
}

/** A control group may allow less than the machine has; it states `max` where it does not. */
function detectMemoryBytes(): number {
  const allowed = Number(readText('/sys/fs/cgroup/memory.max'));
  return allowed > 0 ? Math.min(allowed, totalmem()) : totalmem();
}

function detectDescriptors(): number {
  const match = /^Max open files\s+(\d+)/m.exec(readText('/proc/self/limits'));
  return match === null ? DEFAULT_DESCRIPTORS : Number(match[1]);
}

export function determineMachineSize(stated: StatedSize): MachineSize {
  const { memoryMegabytes, maximumDescriptors } = stated;
  return {
    memoryBytes:
      memoryMegabytes === undefined ? detectMemoryBytes() : memoryMegabytes * BYTES_PER_MEGABYTE,
    maximumDescriptors: maximumDescriptors ?? detectDescriptors(),
    heapBytes: getHeapStatistics().heap_size_limit,
  };
}
