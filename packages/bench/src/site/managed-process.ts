/**
 * A child process of the launcher, stopped, killed or frozen by its own id only.
 */
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';

export interface ManagedProcess {
  readonly id: string;
  readonly role: string;
  readonly availabilityZone: string;
  readonly pid: number;
  readonly exited: boolean;
  /** Asks for a graceful stop and waits for the exit. */
  stop(): Promise<number>;
  kill(): Promise<number>;
  freeze(): void;
  thaw(): void;
}

export interface ProcessSpec {
  readonly id: string;
  readonly role: string;
  readonly availabilityZone: string;
  readonly script: string;
  readonly parameters: readonly string[];
  /** Standard output and error go here. */
  readonly logFile: string;
}

export function startProcess(spec: ProcessSpec): ManagedProcess {
  const child = spawn(process.execPath, [spec.script, ...spec.parameters], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const log = createWriteStream(spec.logFile);
  child.stdout.pipe(log, { end: false });
  child.stderr.pipe(log, { end: false });
  let exited = false;
  const exit = new Promise<number>((resolve) => {
    child.once('exit', (code, signal) => {
      exited = true;
      resolve(code ?? (signal === null ? 1 : 128));
    });
  });
  const send = (signal: NodeJS.Signals): void => {
    if (!exited) child.kill(signal);
  };
  return {
    id: spec.id,
    role: spec.role,
    availabilityZone: spec.availabilityZone,
    pid: child.pid ?? 0,
    get exited() {
      return exited;
    },
    stop() {
      send('SIGCONT');
      send('SIGTERM');
      return exit;
    },
    kill() {
      send('SIGKILL');
      return exit;
    },
    freeze: () => send('SIGSTOP'),
    thaw: () => send('SIGCONT'),
  };
}
