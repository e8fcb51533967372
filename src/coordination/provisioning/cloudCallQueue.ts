/** Priority queue of the calls to the cloud that wait for the rate limit. */
import type { CloudCall } from "./cloudCalls.js";
import type { ScaleOutOrder } from "./machineOrders.js";

/** The most machines that the cloud accepts in one delete call. */
const MAX_NAMES_PER_DELETE = 100;

/**
 * Owns the calls that wait to be sent, by priority: machine types, without which nothing is placed; deletions, which
 * save money; orders; lists.
 */
export class CloudCallQueue {
  private readonly orders: ScaleOutOrder[] = [];
  private readonly deletions = new Set<string>();
  private isListPending = false;
  private areTypesPending = false;
  private nextPage: CloudCall<"list"> | null = null;

  /** Adds an order behind those already queued. */
  addOrder(order: ScaleOutOrder): void {
    this.orders.push(order);
  }

  /** Adds machines to delete; a name that is already queued is not added again. */
  addDeletions(names: readonly string[]): void {
    for (const name of names) this.deletions.add(name);
  }

  /** Queues a list unless one is already queued. */
  requestList(): void {
    this.isListPending = true;
  }

  /** Queues a call for the machine types unless one is already queued. */
  requestTypes(): void {
    this.areTypesPending = true;
  }

  /** Queues the next page of a list in progress; it is sent before a new list begins. */
  addNextPage(call: CloudCall<"list">): void {
    this.nextPage = call;
  }

  /** Puts a failed call back. A list is abandoned instead: the next requested list starts from its first page. */
  requeue(call: CloudCall): void {
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
        this.requestTypes();
        break;
    }
  }

  get isEmpty(): boolean {
    if (this.orders.length > 0 || this.deletions.size > 0) return false;
    return !this.isListPending && !this.areTypesPending && this.nextPage === null;
  }

  /** Removes and returns the call with the highest priority; null if the queue is empty. */
  take(): CloudCall | null {
    if (this.areTypesPending) {
      this.areTypesPending = false;
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
    if (!this.isListPending) return null;
    this.isListPending = false;
    return { kind: "list", after: "", machines: [] };
  }
}
