/**
 * Reads the backend server's own load report, which lags, and tells the gate whether it is
 * warm. A changed boot id means that the server restarted under a living sidecar: it is cold
 * although no connection may have been open to notice.
 */
import { BackendObservationKind } from '@lapisbridge/admission';
import type { BackendObservation } from '@lapisbridge/admission';
import { Agent, request } from 'undici';

/** While requests run or the server is not known to be well. */
const BUSY_MILLISECONDS = 250;
const IDLE_MILLISECONDS = 500;
const TIMEOUT_MILLISECONDS = 1000;

/** `GET /load` of a backend server. */
interface BackendLoad {
  readonly warm?: boolean;
  readonly bootId?: string;
}

export interface LoadWatcher {
  /** False from a failed read, or a refused connection, until the next good read. */
  readonly reachable: boolean;
  noteUnreachable(): void;
  start(): void;
  stop(): void;
}

export function createLoadWatcher(
  url: string,
  observe: (evidence: BackendObservation) => void,
  isIdle: () => boolean,
): LoadWatcher {
  let agent = new Agent({ connections: 1 });
  let timer: NodeJS.Timeout | undefined;
  let stopped = false;
  let bootId: string | undefined;
  let reachable = false;

  async function read(): Promise<void> {
    try {
      const reply = await request(`${url}/load`, {
        dispatcher: agent,
        signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
      });
      const load = (await reply.body.json()) as BackendLoad;
      if (bootId !== undefined && load.bootId !== bootId)
        observe({ kind: BackendObservationKind.Lost });
      bootId = load.bootId;
      reachable = true;
      observe({ kind: BackendObservationKind.Reported, warm: load.warm === true });
    } catch {
      reachable = false;
      // The connection may have gone silent while new ones work: the next read opens a fresh one.
      void agent.destroy();
      agent = new Agent({ connections: 1 });
      observe({ kind: BackendObservationKind.Lost });
    }
  }

  function schedule(): void {
    if (stopped) return;
    const period = reachable && isIdle() ? IDLE_MILLISECONDS : BUSY_MILLISECONDS;
    timer = setTimeout(() => void read().then(schedule), period);
  }

  return {
    get reachable() {
      return reachable;
    },
    noteUnreachable() {
      reachable = false;
    },
    start() {
      void read().then(schedule);
    },
    stop() {
      stopped = true;
      clearTimeout(timer);
      void agent.destroy();
    },
  };
}
