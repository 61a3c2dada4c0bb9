/**
 * The catalog of one process. Every table in it carries the revision as of which it is
 * complete. Revisions come from the store's one counter, so two processes can compare theirs,
 * and knowledge only ever moves forward: a late answer, a peer that lags or a store that reads
 * from behind would otherwise bring back a removed key or a backend server that has left.
 */
import type { BackendServer, Configuration } from './types.js';

export interface OperatorState {
  readonly revision: number;
  readonly configuration: Configuration | undefined;
  readonly drainedZones: ReadonlySet<string>;
}

export interface ServerList {
  readonly revision: number;
  readonly servers: ReadonlyMap<string, BackendServer>;
}

export interface Catalog {
  operatorState(): OperatorState;
  servers(): ServerList;
  /** Takes newer operators' orders; false when they are not newer. */
  replaceOperatorState(next: OperatorState): boolean;
  replaceServers(list: ServerList): boolean;
  /** Called after each change. */
  onChange(listener: () => void): void;
}

export function createCatalog(): Catalog {
  let operatorState: OperatorState = {
    revision: 0,
    configuration: undefined,
    drainedZones: new Set(),
  };
  let serverList: ServerList = { revision: 0, servers: new Map() };
  const listeners: (() => void)[] = [];

  function notifyListeners(): void {
    for (const listener of listeners) listener();
  }

  return {
    operatorState: () => operatorState,
    servers: () => serverList,
    replaceOperatorState(next) {
      if (next.revision < operatorState.revision) return false;
      const current = operatorState.configuration;
      const isOlder =
        current !== undefined &&
        (next.configuration === undefined || next.configuration.version < current.version);
      operatorState = isOlder ? { ...next, configuration: current } : next;
      notifyListeners();
      return true;
    },
    replaceServers(list) {
      if (list.revision < serverList.revision) return false;
      serverList = list;
      notifyListeners();
      return true;
    },
    onChange(listener) {
      listeners.push(listener);
    },
  };
}
