/** Calls to the cloud that wait for its rate, the most pressing first. */
import type { CloudCall } from "./cloudCalls.js";
import type { ScaleOutOrder } from "./machineOrders.js";

/** Machines in one call to delete, the most that the cloud takes. */
const MAX_NAMES_PER_DELETE = 100;

/**
 * Owns the calls that wait to be sent, in the order of their worth: machine types, without which nothing is placed, then
 * deletions, which save money, then orders, then lists.
 */
export class CloudCallQueue {
  private readonly orders: ScaleOutOrder[] = [];
  private readonly deletions = new Set<string>();
  private isListWanted = false;
  private areTypesWanted = false;
  private nextPage: CloudCall<"list"> | null = null;

  /** Adds an order after those that wait. */
  addOrder(order: ScaleOutOrder): void {
    this.orders.push(order);
  }

  /** Adds machines to delete; a name that waits already is deleted once. */
  addDeletions(names: readonly string[]): void {
    for (const name of names) this.deletions.add(name);
  }

  /** A list is wanted; one that waits already serves. */
  addList(): void {
    this.isListWanted = true;
  }

  /** Machine types are wanted; a call that waits already serves. */
  addTypes(): void {
    this.areTypesWanted = true;
  }

  /** The list that has begun goes on with this page. */
  addNextPage(call: CloudCall<"list">): void {
    this.nextPage = call;
  }

  /** Puts a call that failed back; a list is given up, the next one that is wanted begins anew. */
  putBack(call: CloudCall): void {
    switch (call.kind) {
      case "create":
        this.orders.unshift(call.order);
        break;
      case "delete":
        this.addDeletions(call.names);
        break;
      case "list":
        this.nextPage = null;
        break;
      case "types":
        this.addTypes();
        break;
    }
  }

  get isEmpty(): boolean {
    if (this.orders.length > 0 || this.deletions.size > 0) return false;
    return !this.isListWanted && !this.areTypesWanted && this.nextPage === null;
  }

  /** Takes the next call; null: none waits. */
  take(): CloudCall | null {
    if (this.areTypesWanted) {
      this.areTypesWanted = false;
      return { kind: "types" };
    }
    if (this.deletions.size > 0) return { kind: "delete", names: this.takeDeletions() };
    const order = this.orders.shift();
    if (order) return { kind: "create", order };
    return this.takeList();
  }

  private takeDeletions(): string[] {
    const names = [...this.deletions].slice(0, MAX_NAMES_PER_DELETE);
    for (const name of names) this.deletions.delete(name);
    return names;
  }

  private takeList(): CloudCall<"list"> | null {
    if (this.nextPage) {
      const call = this.nextPage;
      this.nextPage = null;
      return call;
    }
    if (!this.isListWanted) return null;
    this.isListWanted = false;
    return { kind: "list", after: "", found: [] };
  }
}
