/**
 * The catalog of one process: operator state and the list of backend servers, each complete as of
 * a store revision. Revisions come from a single counter in the store, so processes can compare
 * them. The catalog rejects older revisions and keeps a newer configuration: a late response, a
 * lagging peer or a stale read from the store would otherwise restore a removed API key or a
 * backend server that has left.
 */
import type { BackendServer, Configuration } from './types.js';

/** Configuration and drained availability zones, as operators set them. */
export interface OperatorState {
  readonly revision: number;
  /** Undefined until a valid configuration has been read. */
  readonly configuration: Configuration | undefined;
  readonly drainedZones: ReadonlySet<string>;
}

/** The registered backend servers. */
export interface ServerList {
  readonly revision: number;
  /** By instance id. */
  readonly servers: ReadonlyMap<string, BackendServer>;
}

/** Holds the newest state that this process has seen. */
export interface Catalog {
  operatorState(): OperatorState;
  servers(): ServerList;
  /**
   * Replaces the operator state; returns false if its revision is older. A configuration that is
   * missing or has a lower version does not replace the current one.
   */
  replaceOperatorState(next: OperatorState): boolean;
  /** Replaces the server list; returns false if its revision is older. */
  replaceServers(list: ServerList): boolean;
  /** Registers a listener that is called after each replacement. */
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
