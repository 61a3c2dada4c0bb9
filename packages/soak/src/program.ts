/**
 * One of the real programs as a process of its own, started again when it ends.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

export interface ProgramOptions {
  readonly name: string;
  /** Bundled program. */
  readonly file: string;
  readonly folder: string;
  readonly settings: Readonly<Record<string, unknown>>;
  /** A process starts that knows nothing of what the one before it was told. */
  onStart?(name: string): void;
  /** The process ended and nobody had asked it to; `status` is its exit code or signal. */
  onOwnEnd(name: string, status: string): void;
}

export interface Program {
  readonly name: string;
  start(): void;
  /** Resident memory of the process in bytes; undefined while there is none. */
  residentBytes(): number | undefined;
  /** Sends a signal; one that ends the process is followed by a start. */
  signal(signal: NodeJS.Signals): void;
  /** How often it was sent SIGTERM, has ended since, and was sent SIGKILL. */
  stops(): { readonly asked: number; readonly ended: number; readonly killed: number };
  /** Ends it for good. */
  end(): Promise<void>;
}

/** As in deploy/system.toml. */
const NODE_OPTIONS = ['--max-old-space-size=96', '--max-semi-space-size=2'];
const RESTART_MILLISECONDS = 300;
const BYTES_PER_KIBIBYTE = 1024;

/** Programs that were started and not ended for good. */
const running = new Set<ChildProcess>();

/** Kills every program at once; for a run that is itself told to stop. */
export function killPrograms(): void {
  for (const child of running) child.kill('SIGKILL');
}

export function createProgram(options: ProgramOptions): Program {
  const { name, folder } = options;
  const settingsFile = join(folder, `${name}.json`);
  const log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });
  let child: ChildProcess | undefined;
  let restart: NodeJS.Timeout | undefined;
  let isOver = false;
  let isExpected = false;
  let asked = 0;
  let ended = 0;
  let killed = 0;

  function start(): void {
    writeFileSync(settingsFile, JSON.stringify(options.settings));
    const started = spawn(process.execPath, [...NODE_OPTIONS, options.file], {
      env: { LAPISBRIDGE_SETTINGS: settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child = started;
    options.onStart?.(name);
    running.add(started);
    isExpected = false;
    started.stdout.pipe(log, { end: false });
    started.stderr.pipe(log, { end: false });
    started.on('exit', (code, signal) => {
      running.delete(started);
      if (!isExpected && !isOver) options.onOwnEnd(name, signal ?? `code ${code}`);
      ended = asked;
      if (!isOver) restart = setTimeout(start, RESTART_MILLISECONDS);
    });
  }

  return {
    name,
    start,
    residentBytes() {
      if (child?.pid === undefined || child.exitCode !== null) return undefined;
      const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
      const kibibytes = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
      return kibibytes === undefined ? undefined : Number(kibibytes) * BYTES_PER_KIBIBYTE;
    },
    signal(signal) {
      if (signal === 'SIGKILL' || signal === 'SIGTERM') isExpected = true;
      if (signal === 'SIGTERM') asked += 1;
      if (signal === 'SIGKILL') killed += 1;
      child?.kill(signal);
    },
    stops: () => ({ asked, ended, killed }),
    async end() {
      isOver = true;
      // A start that is due would leave a process behind that takes the addresses of a later run.
      clearTimeout(restart);
      const ending = child;
      if (ending === undefined || ending.exitCode !== null || ending.signalCode !== null) return;
      await new Promise((resolve) => {
        ending.on('exit', resolve);
        ending.kill('SIGKILL');
      });
    },
  };
}
