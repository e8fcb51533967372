/** What the cloud is asked for: kinds of machines, how many of them, and under which request name. */

/** A kind of machine that the cloud offers: its refusals and orders are counted per kind. */
export interface MachineKind {
  type: string;
  zone: string;
  spot: boolean;
}

/** So many machines of a kind are wanted. */
export interface ScaleOutTarget extends MachineKind {
  count: number;
}

/** A request to the cloud to create machines. */
export interface ScaleOutOrder extends ScaleOutTarget {
  /** Idempotency key, made of the term and a counter: never used again by any controller. */
  request: string;
}

const SPOT_FIRST: readonly boolean[] = [true, false];
const ON_DEMAND_ONLY: readonly boolean[] = [false];

/** Whether to try spot machines, on-demand machines or both, in the order of preference. */
export function purchaseKinds({ spot }: { spot: boolean }): readonly boolean[] {
  return spot ? SPOT_FIRST : ON_DEMAND_ONLY;
}

/** A map key for a kind of machine. */
export function machineKindKey(type: string, zone: string, spot: boolean): string {
  return `${type} ${zone} ${spot}`;
}
