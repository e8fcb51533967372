/** Requests to the state store, a consensus-backed key-value store, and its responses. Its own words end here. */
import {
  asArray,
  asNonEmptyString,
  asNonNegativeInteger,
  asObject,
  asStrings,
  type JsonObject,
} from "./json.js";

/** A key with its value and the version by which a compare-and-swap names it. */
export interface Item {
  key: string;
  value: unknown;
  version: number;
}

/** What a compare-and-swap does to one key; a key with a lease is deleted when the lease ends. */
export type Change = { put: string; value: unknown; lease?: number } | { delete: string };

/** A compare-and-swap is executed only if each of these keys still has this version. */
export interface VersionCondition {
  key: string;
  /** 0: the key does not exist. */
  version: number;
}

/** What a watch has seen: a key got this value, or was deleted. */
export type ChangeEvent =
  { key: string; value: unknown; version: number } | { key: string; isDeleted: true; version: number };

/** One page of a list of keys. */
export interface Page {
  items: Item[];
  /** The keys go on behind the last item. */
  more: boolean;
  /** Of the whole store, when the page was read. */
  revision: number;
}

/** What has changed since a revision. */
export interface ChangeEvents {
  /** Watch on from here. */
  revision: number;
  events: ChangeEvent[];
}

/** Paths of the state store's interface. */
export const stateStorePaths = {
  key: (key: string): string => `/keys/${key}`,
  page: (prefix: string, after: string | null, limit: number): string => {
    const from = after === null ? "" : `&after=${encodeURIComponent(after)}`;
    return `/keys?prefix=${encodeURIComponent(prefix)}${from}&limit=${limit}`;
  },
  compareAndSwap: "/commit",
  leases: "/holds",
  lease: (leaseId: number): string => `/holds/${leaseId}`,
  renew: (leaseId: number): string => `/holds/${leaseId}/renew`,
  watch: (prefix: string, afterRevision: number, waitMs: number): string =>
    `/changes?prefix=${encodeURIComponent(prefix)}&after=${afterRevision}&holdMs=${waitMs}`,
};

function encodeChange(change: Change): JsonObject {
  if ("delete" in change) return { drop: change.delete };
  const put = { set: change.put, data: change.value };
  return change.lease === undefined ? put : { ...put, tenure: change.lease };
}

/** The body of a transaction that is carried out only if all conditions hold. */
export function encodeCompareAndSwap(conditions: VersionCondition[], changes: Change[]): JsonObject {
  return {
    guards: conditions.map((condition) => ({ path: condition.key, stamp: condition.version })),
    then: changes.map(encodeChange),
  };
}

/** Null when the response can't be read. */
export function decodeRevision(value: unknown): number | null {
  return asNonNegativeInteger(asObject(value)?.ring);
}

/** The keys that no longer had the version of their condition; none when the response can't be read. */
export function decodeFailedKeys(value: unknown): string[] {
  return asStrings(asObject(value)?.failed) ?? [];
}

/** Null when the response can't be read. */
export function decodeItem(value: unknown): Item | null {
  const item = asObject(value);
  const key = asNonEmptyString(item?.path);
  const version = asNonNegativeInteger(item?.stamp);
  return item && key !== null && version !== null ? { key, value: item.data, version } : null;
}

/** Null when the response can't be read, even in one item: what is left out would look absent. */
export function decodePage(value: unknown): Page | null {
  const page = asObject(value);
  const entries = asArray(page?.entries);
  const revision = asNonNegativeInteger(page?.ring);
  if (!page || !entries || revision === null) return null;
  const items: Item[] = [];
  for (const entry of entries) {
    const item = decodeItem(entry);
    if (!item) return null;
    items.push(item);
  }
  return { items, more: page.more === true, revision };
}

/** Null when the response can't be read. */
export function decodeLeaseId(value: unknown): number | null {
  return asNonNegativeInteger(asObject(value)?.tenure);
}

/** The body that opens a lease with that time to live, in milliseconds. */
export function encodeLeaseRequest(ttlMs: number): JsonObject {
  return { lifeMs: ttlMs };
}

/** Null when the response can't be read; changes that are neither a put nor a deletion are left out. */
export function decodeChangeEvents(value: unknown): ChangeEvents | null {
  const response = asObject(value);
  const revision = asNonNegativeInteger(response?.ring);
  const entries = asArray(response?.news);
  if (revision === null || !entries) return null;
  const events: ChangeEvent[] = [];
  for (const entry of entries) {
    const change = asObject(entry);
    const version = asNonNegativeInteger(change?.stamp);
    if (!change || version === null) return null;
    const put = asNonEmptyString(change.set);
    const deleted = asNonEmptyString(change.drop);
    if (put !== null) events.push({ key: put, value: change.data, version });
    else if (deleted !== null) events.push({ key: deleted, isDeleted: true, version });
  }
  return { revision, events };
}
