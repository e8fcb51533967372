import type {
  CompareAndSwapOutcome,
  Item,
  ListOutcome,
  WatchOutcome,
} from "../../bookkeeping/stateStoreClient.js";
import type { Transaction } from "../../bookkeeping/transaction.js";

/** What a term's reading of its records brought; `sentMs`: when the first read was sent. */
export interface LoadedRecords {
  kind: "loaded";
  heads: ListOutcome;
  chunks: ListOutcome;
  /** The records of which there is one each; null: one of them could not be read. */
  singletons: Item[] | null;
  sentMs: number;
}

/** How the state store's answers come back into the leader's mailbox. */
export type RecordMessage =
  | LoadedRecords
  | { kind: "watched"; outcome: WatchOutcome; sentMs: number }
  | { kind: "committed"; transaction: Transaction; outcome: CompareAndSwapOutcome }
  /** A key whose version a write had expected otherwise. */
  | { kind: "reread"; key: string; item: Item | null; ok: boolean };
