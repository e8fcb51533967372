/** Kinds of machines, and orders to the cloud for them. */

/** A kind of machine that the cloud offers. Refusals and orders are tracked per kind. */
export interface MachineKind {
  type: string;
  zone: string;
  spot: boolean;
}

/** The number of machines of a kind that a plan asks for. */
export interface ScaleOutTarget extends MachineKind {
  count: number;
}

/** A request to the cloud to create machines. */
export interface ScaleOutOrder extends ScaleOutTarget {
  /** Idempotency key, built from the term and a counter, so that no controller ever reuses it. */
  idempotencyKey: string;
}

const SPOT_FIRST: readonly boolean[] = [true, false];
const ON_DEMAND_ONLY: readonly boolean[] = [false];

/** Purchase options for a job in order of preference, as values of `MachineKind.spot`. */
export function purchaseOptions({ spot }: { spot: boolean }): readonly boolean[] {
  return spot ? SPOT_FIRST : ON_DEMAND_ONLY;
}

/** Returns the map key of a kind of machine. The length shows where the type's name ends, whatever it contains. */
export function machineKindKey(type: string, zone: string, spot: boolean): string {
  return `${type.length} ${type} ${zone} ${spot}`;
}
