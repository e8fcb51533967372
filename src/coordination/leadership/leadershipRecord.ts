/**
 * The leadership keys in the state store: the term counter, which is never deleted, and the record of the current leader,
 * which is attached to that leader's lease. A new leader increments the counter, and every write of a leader is
 * conditional on the counter's version.
 */
import { keys } from "../../bookkeeping/records.js";
import type { Change, Item } from "../../bookkeeping/stateStoreClient.js";
import { asNonEmptyString, asNonNegativeInteger, asObject } from "../../protocol/json.js";

/** The record of the current leader. The state store deletes it when the leader's lease ends. */
export interface LeadershipRecord {
  term: number;
  node: string;
  /** Identifies the leader's process, because a restarted process does not inherit its predecessor's leadership. */
  incarnation: string;
  leaseId: number;
}

/** The leadership keys as returned by one read of the state store. */
export interface LeadershipView {
  /** Revision of the state store at the time of the read. */
  revision: number;
  /** Version of the term counter, or 0 if no term has begun yet. */
  termVersion: number;
  /** The newest term that has begun, or 0 if there is none. */
  term: number;
  /** The current leader's record, or null if there is no leader. */
  record: LeadershipRecord | null;
}

/** Decodes the leadership keys. A missing or malformed field is decoded as 0 or "". */
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

/** Returns the change that sets the term counter. */
export function termChange({ term, node }: LeadershipRecord): Change {
  return { put: keys.term, value: { n: term, node } };
}

/** Returns the change that writes the leader's record, attached to its lease. */
export function leadershipRecordChange({ term, node, incarnation, leaseId }: LeadershipRecord): Change {
  return { put: keys.leader, value: { n: term, node, life: incarnation, lease: leaseId }, lease: leaseId };
}

/** Returns the version of the term counter if the read shows exactly the written record, and null otherwise. */
export function termVersionIfWritten(written: LeadershipRecord, view: LeadershipView | null): number | null {
  const record = view?.record;
  const isSame =
    record?.incarnation === written.incarnation &&
    record.term === written.term &&
    record.leaseId === written.leaseId;
  return isSame && view ? view.termVersion : null;
}
