/**
 * The eventually consistent state of an environment: the configuration document in force and the
 * drain orders. Configuration versions only grow. A lower version is rejected whatever its source,
 * so an accepted configuration never reverts.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';

import { checkDocument } from '@lapisbridge/config';
import type { EnvironmentDocument } from '@lapisbridge/config';
import type { Logger } from '@lapisbridge/logger';
import { DrainTargetKind, ServiceState } from '@lapisbridge/types';

import { mergeOrders, orderKey } from './drain-orders.js';
import type { DrainOrder, DrainOrders } from './drain-orders.js';
import { formatDigest } from './state-digest.js';

/** A configuration in force. `version` is the table row's version. */
export interface Configuration {
  readonly version: number;
  readonly changeId: string;
  readonly document: EnvironmentDocument;
}

/** The state as it is sent between processes, as deflated JSON. */
interface SerializedState {
  readonly version: number;
  readonly changeId: string;
  readonly text: string;
  readonly orders: DrainOrders;
}

export interface SharedState {
  readonly configuration: Configuration | undefined;
  readonly orders: DrainOrders;
  /** Digest for heartbeats and gossip, see `formatDigest`. */
  readonly digest: string;
  /** Text of the configuration document as accepted; empty while there is none. */
  readonly documentText: string;
  /** Puts a valid document of a higher version in force; returns whether it did so. */
  adopt(version: number, changeId: string, text: string): boolean;
  mergeOrders(orders: DrainOrders): void;
  /** Merges a peer's serialized state; throws if the bytes cannot be inflated or parsed. */
  merge(serialized: Uint8Array): void;
  /** Deflated, since a document of thousands of accounts is large and is sent to every instance. */
  serialize(): Uint8Array;
  onChange(listener: () => void): void;
  /** Whether the instance or its availability zone is drained. */
  isDrained(instanceId: string, availabilityZone: string): boolean;
}

export function createSharedState(environment: string, logger: Logger): SharedState {
  let configuration: Configuration | undefined;
  let documentText = '';
  let serialized: Uint8Array | undefined;
  let orders: DrainOrders = {};
  let digest = formatDigest(0, {});
  const listeners: (() => void)[] = [];

  function notifyListeners(): void {
    serialized = undefined;
    digest = formatDigest(configuration?.version ?? 0, orders);
    for (const listener of listeners) listener();
  }

  function targetState(kind: DrainTargetKind, target: string): ServiceState {
    const key = orderKey({ targetKind: kind, target });
    return orders[key]?.state ?? ServiceState.InService;
  }

  function logChangedOrders(previousOrders: DrainOrders): void {
    for (const [key, order] of Object.entries(orders)) {
      if (previousOrders[key] !== order) logOrder(order);
    }
  }

  function logOrder(order: DrainOrder): void {
    logger.decision({
      kind: 'drainOrder',
      subject: order.target,
      choice: order.state,
      reason: `order ${order.counter} of ${order.author}`,
    });
  }

  const state: SharedState = {
    get configuration() {
      return configuration;
    },
    get orders() {
      return orders;
    },
    get digest() {
      return digest;
    },
    get documentText() {
      return documentText;
    },
    adopt(version, changeId, text) {
      // A store replica, a delayed reply or an outdated peer may offer an earlier version.
      if (version <= (configuration?.version ?? 0)) return false;
      const checked = checkDocument(text);
      if (checked.isLeft()) {
        logger.error('configuration refused', { version, changeId });
        return false;
      }
      const document = checked.unsafeCoerce();
      if (document.name !== environment) {
        logger.error('configuration of another environment', { version, name: document.name });
        return false;
      }
      configuration = { version, changeId, document };
      documentText = text;
      logger.decision({
        kind: 'configuration',
        subject: changeId,
        choice: `version ${version}`,
        reason: 'highest version seen',
      });
      notifyListeners();
      return true;
    },
    mergeOrders(incomingOrders) {
      const previousOrders = orders;
      const previousDigest = digest;
      orders = mergeOrders(orders, incomingOrders);
      if (formatDigest(configuration?.version ?? 0, orders) === previousDigest) return;
      logChangedOrders(previousOrders);
      notifyListeners();
    },
    merge(received) {
      const wire = JSON.parse(inflateRawSync(received).toString('utf8')) as SerializedState;
      if (wire.version > 0) state.adopt(wire.version, wire.changeId, wire.text);
      state.mergeOrders(wire.orders);
    },
    serialize() {
      if (serialized !== undefined) return serialized;
      const wire: SerializedState = {
        version: configuration?.version ?? 0,
        changeId: configuration?.changeId ?? '',
        text: documentText,
        orders,
      };
      serialized = deflateRawSync(JSON.stringify(wire));
      return serialized;
    },
    onChange(listener) {
      listeners.push(listener);
    },
    isDrained(instanceId, availabilityZone) {
      return (
        targetState(DrainTargetKind.Instance, instanceId) === ServiceState.Drained ||
        targetState(DrainTargetKind.AvailabilityZone, availabilityZone) === ServiceState.Drained
      );
    },
  };
  return state;
}
