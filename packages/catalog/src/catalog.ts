/**
 * The catalog of one process. Every table in it carries the revision as of which it is
 * complete. Revisions come from the store's one counter, so two processes can compare theirs,
 * and knowledge only ever moves forward: a late answer, a peer that lags or a store that reads
 * from behind would otherwise bring back a removed key or a backend server that has left.
 */
import type { BackendServer, Configuration } from './types.js';

export interface OperatorOrders {
  readonly revision: number;
  readonly configuration: Configuration | undefined;
  readonly drainedZones: ReadonlySet<string>;
}

export interface ServerList {
  readonly revision: number;
  readonly servers: ReadonlyMap<string, BackendServer>;
}

export interface Catalog {
  operators(): OperatorOrders;
  servers(): ServerList;
  /** Takes newer operators' orders; false when they are not newer. */
  replaceOperators(orders: OperatorOrders): boolean;
  replaceServers(list: ServerList): boolean;
  /** Called after each change. */
  onChange(listener: () => void): void;
}

export function createCatalog(): Catalog {
  let operators: OperatorOrders = {
    revision: 0,
    configuration: undefined,
    drainedZones: new Set(),
  };
  let serverList: ServerList = { revision: 0, servers: new Map() };
  const listeners: (() => void)[] = [];

  function changed(): void {
    for (const listener of listeners) listener();
  }

  return {
    operators: () => operators,
    servers: () => serverList,
    replaceOperators(orders) {
      if (orders.revision < operators.revision) return false;
      const known = operators.configuration;
      const isOlder =
        known !== undefined &&
        (orders.configuration === undefined || orders.configuration.version < known.version);
      operators = isOlder ? { ...orders, configuration: known } : orders;
      changed();
      return true;
    },
    replaceServers(list) {
      if (list.revision < serverList.revision) return false;
      serverList = list;
      changed();
      return true;
    },
    onChange(listener) {
      listeners.push(listener);
    },
  };
}
