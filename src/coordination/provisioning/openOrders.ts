/** Orders that the cloud has not answered yet. */
import type { MachineKind, ScaleOutOrder, ScaleOutTarget } from "./machineOrders.js";

/** Orders under way at the same time: the cloud answers only a few calls a second. */
const MAX_OPEN_ORDERS = 4;
/** Machines in one order. */
const MAX_MACHINES_PER_ORDER = 50;

/** Owns the orders that the cloud has not answered yet, and their request names. */
export class OpenOrders {
  private readonly orders = new Map<string, ScaleOutOrder>();
  private lastRequest = 0;

  constructor(private readonly currentTerm: () => number) {}

  /** The open orders by their request names. */
  get byRequest(): ReadonlyMap<string, ScaleOutOrder> {
    return this.orders;
  }

  /** As many are open as may be. */
  get isFull(): boolean {
    return this.orders.size >= MAX_OPEN_ORDERS;
  }

  /** Is an order for the same kind of machine open? */
  includesKindOf({ type, zone, spot }: MachineKind): boolean {
    for (const order of this.orders.values())
      if (order.type === type && order.zone === zone && order.spot === spot) return true;
    return false;
  }

  /**
   * Opens an order for what is wanted, or for as much of it as one order holds. Its request name is made of the term and a
   * counter, so that no other controller or process ever uses it: to a name that it knows, the cloud would answer with
   * the machines of its first use.
   */
  open(target: ScaleOutTarget): ScaleOutOrder {
    const order: ScaleOutOrder = {
      ...target,
      count: Math.min(MAX_MACHINES_PER_ORDER, target.count),
      request: `t${this.currentTerm()}-${++this.lastRequest}`,
    };
    this.orders.set(order.request, order);
    return order;
  }

  /** The cloud has answered. False: it is no open order of this term. */
  close({ request }: ScaleOutOrder): boolean {
    return this.orders.delete(request);
  }
}
