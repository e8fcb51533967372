/** Collects what comes up for the same controller within a moment, so that it shares one frame. */
import type { Clock } from "../../transport/clock.js";

/** How batches are made up, and who sends them. */
export interface PeerBatchesOptions<Item> {
  clock: Clock;
  /** A batch is sent this long after its first item. */
  delayMs: number;
  /** A batch takes no more items than these; the next item begins another. */
  maxItems: number;
  send: (peer: string, term: number, items: Item[]) => void;
}

interface Batch<Item> {
  readonly term: number;
  readonly items: Item[];
}

/** Owns the open batch of each controller; a batch holds items of one term only. */
export class PeerBatches<Item> {
  private readonly open = new Map<string, Batch<Item>>();

  constructor(private readonly options: PeerBatchesOptions<Item>) {}

  /** Has the item sent to that controller with its batch. */
  add(peer: string, term: number, item: Item): void {
    const waiting = this.open.get(peer);
    if (waiting && waiting.term === term && waiting.items.length < this.options.maxItems) {
      waiting.items.push(item);
      return;
    }
    const batch: Batch<Item> = { term, items: [item] };
    this.open.set(peer, batch);
    this.options.clock.after(this.options.delayMs, () => {
      if (this.open.get(peer) === batch) this.open.delete(peer);
      this.options.send(peer, term, batch.items);
    });
  }
}
