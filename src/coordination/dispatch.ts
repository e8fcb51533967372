import type { Errand, ErrandResult } from "../protocol/model.js";
import type { PeerMessage } from "../protocol/peers.js";
import type { Clock } from "../transport/clock.js";
import type { CommandSender } from "./commandSender.js";

/** Errands that come up together travel together, and so do their results, which nobody waits for. */
const GATHER_MS = 5;
const GATHER_BACK_MS = 25;
/** Commands in one frame; a stop of a huge job must not make a frame too long. */
const MAX_COMMANDS = 1500;

/**
 * Has errands carried by the controller that serves the machine, so that the connections to workers, and what they
 * cost, are spread over all of them. The fences are in the errand itself (token and session), whoever carries it.
 */
export class Dispatch {
  private readonly outgoing = new Map<string, { term: number; errands: Errand[] }>();
  private readonly returning = new Map<string, { term: number; results: ErrandResult[] }>();

  constructor(
    private readonly node: string,
    private readonly clock: Clock,
    private readonly commandSender: CommandSender,
    private readonly send: (peer: string, message: PeerMessage) => boolean,
    private readonly onResult: (term: number, result: ErrandResult) => void,
  ) {}

  /** Through that controller, or by ourselves when there is none. */
  errand(term: number, via: string | null, errand: Errand): void {
    if (via === null || via === this.node) {
      this.carry(term, errand);
      return;
    }
    const waiting = this.outgoing.get(via);
    if (waiting && waiting.term === term) {
      waiting.errands.push(errand);
      return;
    }
    const batch = { term, errands: [errand] };
    this.outgoing.set(via, batch);
    this.clock.after(GATHER_MS, () => {
      if (this.outgoing.get(via) === batch) this.outgoing.delete(via);
      for (const errands of bySize(batch.errands)) {
        if (this.send(via, { kind: "errands", from: this.node, term, errands })) continue;
        for (const e of errands) this.carry(term, e);
      }
    });
  }

  private carry(term: number, errand: Errand): void {
    this.commandSender.tell({ kind: "send", errand, back: (result) => this.onResult(term, result) });
  }

  /** The leader asks us to carry some. */
  asked(from: string, term: number, errands: Errand[]): void {
    for (const errand of errands) {
      this.commandSender.tell({ kind: "send", errand, back: (result) => this.giveBack(from, term, result) });
    }
  }

  private giveBack(to: string, term: number, result: ErrandResult): void {
    const waiting = this.returning.get(to);
    if (waiting && waiting.term === term && waiting.results.length < 40) {
      waiting.results.push(result);
      return;
    }
    const batch = { term, results: [result] };
    this.returning.set(to, batch);
    this.clock.after(GATHER_BACK_MS, () => {
      if (this.returning.get(to) === batch) this.returning.delete(to);
      // A lost result is an errand without an answer: its sender counts on nothing.
      this.send(to, { kind: "errands back", from: this.node, term, results: batch.results });
    });
  }
}

function bySize(errands: Errand[]): Errand[][] {
  const out: Errand[][] = [];
  let size = 0;
  for (const e of errands) {
    if (out.length === 0 || size + e.commands.length > MAX_COMMANDS) {
      out.push([]);
      size = 0;
    }
    out.at(-1)!.push(e);
    size += e.commands.length + 1;
  }
  return out;
}
