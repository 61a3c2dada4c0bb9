/**
 * A streaming route for tests of decisions.
 */
import { RequestKind } from '@lapisbridge/catalog';
import type { Route } from '@lapisbridge/catalog';

export const STREAM_ROUTE: Route = {
  name: 'route',
  host: 'host',
  prefix: '/',
  kind: RequestKind.Streaming,
  timeoutMilliseconds: 8000,
  latencyObjectiveMilliseconds: 400,
  eventGapObjectiveMilliseconds: 120,
  priority: 1,
  targets: [],
  maximumAttempts: 2,
  isPublic: false,
  resumable: true,
};
