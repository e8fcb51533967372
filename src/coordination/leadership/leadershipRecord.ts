/**
 * The stored form of leadership: a counter of terms that is never removed, and the record of the present leader, attached
 * to that leader's lease. Whoever begins a term raises the counter, and every write of a leader is conditional on the
 * counter's version.
 */
import { keys } from "../../bookkeeping/records.js";
import type { Change, Item } from "../../bookkeeping/stateStoreClient.js";
import { asNonEmptyString, asNonNegativeInteger, asObject } from "../../protocol/json.js";

/** Who leads. Removed by the state store together with the leader's lease. */
export interface LeadershipRecord {
  term: number;
  node: string;
  /** The leader's process, as a node's new process is not the leader that its former one was. */
  incarnation: string;
  leaseId: number;
}

/** Leadership as one read of the state store shows it. */
export interface LeadershipView {
  /** The state store's revision at the time of the read. */
  revision: number;
  /** Version of the term's counter; 0: no term has begun yet. */
  termVersion: number;
  /** The newest term that has ever begun. */
  term: number;
  /** Null: nobody leads. */
  record: LeadershipRecord | null;
}

/** Reads both records; what is missing or malformed in one of them counts as 0 or "". */
export function decodeLeadership(items: Item[], revision: number): LeadershipView {
  const view: LeadershipView = { revision, termVersion: 0, term: 0, record: null };
  for (const item of items) {
    const value = asObject(item.value);
    if (item.key === keys.term) {
      view.termVersion = item.version;
      view.term = asNonNegativeInteger(value?.n) ?? 0;
    } else if (item.key === keys.leader) {
      view.record = {
        term: asNonNegativeInteger(value?.n) ?? 0,
        node: asNonEmptyString(value?.node) ?? "",
        incarnation: asNonEmptyString(value?.life) ?? "",
        leaseId: asNonNegativeInteger(value?.lease) ?? 0,
      };
    }
  }
  return view;
}

/** Puts the counter of terms to that term. */
export function termChange({ term, node }: LeadershipRecord): Change {
  return { put: keys.term, value: { n: term, node } };
}

/** Puts the leader's record, attached to its lease. */
export function leadershipRecordChange({ term, node, incarnation, leaseId }: LeadershipRecord): Change {
  return { put: keys.leader, value: { n: term, node, life: incarnation, lease: leaseId }, lease: leaseId };
}

/** The version of the term's counter when the read shows that this very record was written; null otherwise. */
export function termVersionIfWritten(written: LeadershipRecord, view: LeadershipView | null): number | null {
  const record = view?.record;
  const isSame =
    record?.incarnation === written.incarnation &&
    record.term === written.term &&
    record.leaseId === written.leaseId;
  return isSame && view ? view.termVersion : null;
}
