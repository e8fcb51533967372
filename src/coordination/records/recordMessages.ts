/** Messages that deliver the state store's responses to the leader's mailbox. */
import type {
  CompareAndSwapOutcome,
  Item,
  ListOutcome,
  ReadOutcome,
  WatchOutcome,
} from "../../bookkeeping/stateStoreClient.js";
import type { Transaction } from "../../bookkeeping/transaction.js";
import type { Move } from "../consolidation/consolidationTypes.js";

/** A leader's transaction, including the singleton records that it writes. */
export interface LeaderTransaction extends Transaction {
  /** The round of moves that the transaction writes; null if it writes none. */
  moves: Move[] | null;
  /** Whether the transaction writes the machine types. */
  writesMachineTypes: boolean;
}

/** Outcome of reading all records at the start of a term; some reads may have failed. */
export interface LoadedRecords {
  kind: "loaded";
  heads: ListOutcome;
  chunks: ListOutcome;
  /** The existing singleton records; null if one of them could not be read. */
  singletons: Item[] | null;
  /** Monotonic time when the first read was sent, in milliseconds. */
  sentMs: number;
}

/** Outcome of a state store request of the loader, the watcher or the writer. */
export type RecordMessage =
  | LoadedRecords
  /** Outcome of a watch or of the list that replaces it, which was sent at `sentMs` (monotonic time). */
  | { kind: "watched"; outcome: WatchOutcome; sentMs: number }
  /** Outcome of a write. */
  | { kind: "committed"; transaction: LeaderTransaction; outcome: CompareAndSwapOutcome }
  /** Outcome of reading a key on which the condition of a write failed. */
  | { kind: "reread"; key: string; outcome: ReadOutcome };
