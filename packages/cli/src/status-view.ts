/**
 * What `GET /v1/status` tells.
 */
import type { LoadReport } from '@lapisbridge/types';

export interface InstanceView {
  readonly instanceId: string;
  readonly role: string;
  readonly availabilityZone: string;
  readonly state: string;
  readonly version: number;
  readonly drained: boolean;
  readonly serves?: readonly string[];
  readonly load?: LoadReport;
}

export interface StatusView {
  readonly environment: string;
  readonly answeredBy: string;
  readonly version: number;
  readonly instances: readonly InstanceView[];
}
