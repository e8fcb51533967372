/** How the state store's responses come back into the leader's mailbox. */
import type {
  CompareAndSwapOutcome,
  Item,
  ListOutcome,
  ReadOutcome,
  WatchOutcome,
} from "../../bookkeeping/stateStoreClient.js";
import type { Transaction } from "../../bookkeeping/transaction.js";
import type { Move } from "../consolidation/loadedMachine.js";

/** A leader's transaction, and which of the singleton records it writes along. */
export interface LeaderTransaction extends Transaction {
  /** The round of moves that it records; null: none. */
  moves: Move[] | null;
  writesMachineTypes: boolean;
}

/** All records of a term, or which of them could not be read. */
export interface LoadedRecords {
  kind: "loaded";
  heads: ListOutcome;
  chunks: ListOutcome;
  /** The records of which there is one each; null: one of them could not be read. */
  singletons: Item[] | null;
  /** When the first read was sent. */
  sentMs: number;
}

/** Outcomes of the record parts' requests. */
export type RecordMessage =
  | LoadedRecords
  /** `sentMs`: when the watch, or the reading in its place, was sent. */
  | { kind: "watched"; outcome: WatchOutcome; sentMs: number }
  | { kind: "committed"; transaction: LeaderTransaction; outcome: CompareAndSwapOutcome }
  /** A key whose version was not the one that a write was conditional on. */
  | { kind: "reread"; key: string; outcome: ReadOutcome };
