/** Collects items for the same controller over a short delay, so that they share one frame. */
import type { Clock } from "../../transport/clock.js";

/** The limits of a batch and the function that sends it. */
export interface PeerBatchesOptions<Item> {
  clock: Clock;
  /** Delay from a batch's first item until the batch is sent, in milliseconds. */
  delayMs: number;
  /** Maximum number of items in a batch; the next item opens a new batch. */
  maxItems: number;
  send: (peer: string, term: number, items: Item[]) => void;
}

interface Batch<Item> {
  readonly term: number;
  readonly items: Item[];
}

/** Owns the open batch of each controller. All items of a batch belong to the same term. */
export class PeerBatches<Item> {
  private readonly openBatches = new Map<string, Batch<Item>>();

  constructor(private readonly options: PeerBatchesOptions<Item>) {}

  /** Adds the item to the batch that is sent to the controller next. */
  add(peer: string, term: number, item: Item): void {
    const openBatch = this.openBatches.get(peer);
    if (openBatch && openBatch.term === term && openBatch.items.length < this.options.maxItems) {
      openBatch.items.push(item);
      return;
    }
    const batch: Batch<Item> = { term, items: [item] };
    this.openBatches.set(peer, batch);
    this.options.clock.after(this.options.delayMs, () => {
      if (this.openBatches.get(peer) === batch) this.openBatches.delete(peer);
      this.options.send(peer, term, batch.items);
    });
  }
}
