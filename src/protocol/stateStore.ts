/**
 * Codecs of the requests and responses of the state store, a consensus-backed key-value store. Only this module knows
 * its field names.
 */
import {
  asArray,
  asNonEmptyString,
  asNonNegativeInteger,
  asObject,
  asStrings,
  type JsonObject,
} from "./json.js";

/** A key with its value, and the version that a compare-and-swap compares. */
export interface Item {
  key: string;
  value: unknown;
  version: number;
}

/** A write to one key in a compare-and-swap; a key with a lease is deleted when the lease ends. */
export type Change = { put: string; value: unknown; lease?: number } | { delete: string };

/** A condition of a compare-and-swap: the key must still have this version. */
export interface VersionCondition {
  key: string;
  /** The expected version; 0 means that the key must not exist. */
  version: number;
}

/** An event of a watch: a key was set to a value, or deleted. */
export type ChangeEvent =
  { key: string; value: unknown; version: number } | { key: string; isDeleted: true; version: number };

/** One page of a list of keys. */
export interface Page {
  items: Item[];
  /** More keys follow after the last item. */
  more: boolean;
  /** The revision of the whole store when the page was read. */
  revision: number;
}

/** The changes since a revision. */
export interface WatchResponse {
  /** The revision from which the next watch request continues. */
  revision: number;
  events: ChangeEvent[];
}

/** The paths of the state store's API. */
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

/** Encodes the body of a transaction that is executed only if all conditions hold. */
export function encodeCompareAndSwap(conditions: VersionCondition[], changes: Change[]): JsonObject {
  return {
    guards: conditions.map((condition) => ({ path: condition.key, stamp: condition.version })),
    then: changes.map(encodeChange),
  };
}

/** Decodes the revision of an executed transaction; null if the response is malformed. */
export function decodeRevision(value: unknown): number | null {
  return asNonNegativeInteger(asObject(value)?.ring);
}

/** Decodes the keys whose conditions did not hold; an empty list if the response is malformed. */
export function decodeFailedKeys(value: unknown): string[] {
  return asStrings(asObject(value)?.failed) ?? [];
}

/** Decodes a key with its value and version; null if the response is malformed. */
export function decodeItem(value: unknown): Item | null {
  const item = asObject(value);
  const key = asNonEmptyString(item?.path);
  const version = asNonNegativeInteger(item?.stamp);
  return item && key !== null && version !== null ? { key, value: item.data, version } : null;
}

/** Decodes a page; null if any item is malformed, because a skipped key would look absent. */
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

/** Decodes the id of a new lease; null if the response is malformed. */
export function decodeLeaseId(value: unknown): number | null {
  return asNonNegativeInteger(asObject(value)?.tenure);
}

/** Encodes the body of a request for a lease with a time to live in milliseconds. */
export function encodeLeaseRequest(ttlMs: number): JsonObject {
  return { lifeMs: ttlMs };
}

/** Decodes a watch response; null if it is malformed. Changes that are neither a put nor a deletion are skipped. */
export function decodeWatchResponse(value: unknown): WatchResponse | null {
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
