import { asNonNegativeInteger, asArray, asObject, asNonEmptyString, type JsonObject } from "./json.js";

export interface Item {
  key: string;
  value: unknown;
  version: number;
}
export type Change = { put: string; value: unknown; lease?: number } | { drop: string };
export interface VersionCondition {
  key: string;
  /** 0: the key does not exist. */
  version: number;
}
export type ChangeEvent =
  { key: string; value: unknown; version: number } | { key: string; gone: true; version: number };

export const stateStorePaths = {
  key: (key: string): string => `/keys/${key}`,
  page: (prefix: string, after: string | null, limit: number): string =>
    `/keys?prefix=${encodeURIComponent(prefix)}${after === null ? "" : `&after=${encodeURIComponent(after)}`}&limit=${limit}`,
  compareAndSwap: "/commit",
  leases: "/holds",
  renew: (id: number): string => `/holds/${id}/renew`,
  lease: (id: number): string => `/holds/${id}`,
  watch: (prefix: string, after: number, waitMs: number): string =>
    `/changes?prefix=${encodeURIComponent(prefix)}&after=${after}&holdMs=${waitMs}`,
};

export function encodeCompareAndSwap(guards: VersionCondition[], changes: Change[]): JsonObject {
  return {
    guards: guards.map((g) => ({ path: g.key, stamp: g.version })),
    then: changes.map((change) => {
      if ("drop" in change) return { drop: change.drop };
      return change.lease === undefined
        ? { set: change.put, data: change.value }
        : { set: change.put, data: change.value, tenure: change.lease };
    }),
  };
}

export function decodeRevision(value: unknown): number | null {
  return asNonNegativeInteger(asObject(value)?.ring);
}

export function decodeFailedKeys(value: unknown): string[] {
  const list = asArray(asObject(value)?.failed) ?? [];
  return list.filter((k): k is string => asNonEmptyString(k) !== null);
}

export function decodeItem(value: unknown): Item | null {
  const o = asObject(value);
  const key = asNonEmptyString(o?.path);
  const version = asNonNegativeInteger(o?.stamp);
  return o && key !== null && version !== null ? { key, value: o.data, version } : null;
}

export function decodePage(value: unknown): { items: Item[]; more: boolean; revision: number } | null {
  const o = asObject(value);
  const list = asArray(o?.entries);
  const revision = asNonNegativeInteger(o?.ring);
  if (!o || !list || revision === null) return null;
  const items: Item[] = [];
  for (const entry of list) {
    const item = decodeItem(entry);
    if (!item) return null;
    items.push(item);
  }
  return { items, more: o.more === true, revision };
}

export function decodeLeaseId(value: unknown): number | null {
  return asNonNegativeInteger(asObject(value)?.tenure);
}

export function encodeLeaseRequest(ttlMs: number): JsonObject {
  return { lifeMs: ttlMs };
}

export function decodeChangeEvents(value: unknown): { revision: number; events: ChangeEvent[] } | null {
  const o = asObject(value);
  const revision = asNonNegativeInteger(o?.ring);
  const list = asArray(o?.news);
  if (!o || revision === null || !list) return null;
  const events: ChangeEvent[] = [];
  for (const entry of list) {
    const e = asObject(entry);
    const version = asNonNegativeInteger(e?.stamp);
    if (!e || version === null) return null;
    const put = asNonEmptyString(e.set);
    const drop = asNonEmptyString(e.drop);
    if (put !== null) events.push({ key: put, value: e.data, version });
    else if (drop !== null) events.push({ key: drop, gone: true, version });
  }
  return { revision, events };
}
