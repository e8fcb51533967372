/** Orders whose outcome the cloud has not reported yet. */
import type { MachineKind, ScaleOutOrder, ScaleOutTarget } from "./machineOrders.js";

/** The most orders open at the same time: the cloud handles only a few calls per second. */
const MAX_OPEN_ORDERS = 4;
const MAX_MACHINES_PER_ORDER = 50;

/** Owns the open orders, those whose outcome the cloud has not reported yet, and assigns their idempotency keys. */
export class OpenOrders {
  private readonly orders = new Map<string, ScaleOutOrder>();
  private lastRequestNumber = 0;

  constructor(private readonly currentTerm: () => number) {}

  /** The open orders by idempotency key. */
  get byIdempotencyKey(): ReadonlyMap<string, ScaleOutOrder> {
    return this.orders;
  }

  /** Whether the number of open orders is at its limit. */
  get isFull(): boolean {
    return this.orders.size >= MAX_OPEN_ORDERS;
  }

  /** Whether an order for the same kind of machine is open. */
  hasOrderForKind({ type, zone, spot }: MachineKind): boolean {
    for (const order of this.orders.values())
      if (order.type === type && order.zone === zone && order.spot === spot) return true;
    return false;
  }

  /**
   * Opens an order for the target, capped at the size of one order. Its idempotency key is built from the term and a
   * counter, so that no other controller or process ever uses it: the cloud answers an idempotency key that it knows
   * with the machines that it created for the first use of the key.
   */
  open(target: ScaleOutTarget): ScaleOutOrder {
    const order: ScaleOutOrder = {
      ...target,
      count: Math.min(MAX_MACHINES_PER_ORDER, target.count),
      idempotencyKey: `t${this.currentTerm()}-${++this.lastRequestNumber}`,
    };
    this.orders.set(order.idempotencyKey, order);
    return order;
  }

  /** Closes an order whose outcome the cloud has reported; false if it is not an open order of this term. */
  close({ idempotencyKey }: ScaleOutOrder): boolean {
    return this.orders.delete(idempotencyKey);
  }
}
