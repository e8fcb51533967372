import { asCount, asList, asObject, asText, type Json } from "./checks.js";

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

export const statePaths = {
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

export function encodeCompareAndSwap(guards: VersionCondition[], changes: Change[]): Json {
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
  return asCount(asObject(value)?.ring);
}

export function decodeFailedKeys(value: unknown): string[] {
  const list = asList(asObject(value)?.failed) ?? [];
  return list.filter((k): k is string => asText(k) !== null);
}

export function decodeItem(value: unknown): Item | null {
  const o = asObject(value);
  const key = asText(o?.path);
  const version = asCount(o?.stamp);
  return o && key !== null && version !== null ? { key, value: o.data, version } : null;
}

export function decodePage(value: unknown): { items: Item[]; more: boolean; revision: number } | null {
  const o = asObject(value);
  const list = asList(o?.entries);
  const revision = asCount(o?.ring);
  if (!o || !list || revision === null) return null;
  const items: Item[] = [];
  for (const entry of list) {
    const item = decodeItem(entry);
    if (!item) return null;
    items.push(item);
  }
  return { items, more: o.more === true, revision };
}

export function decodeLease(value: unknown): number | null {
  return asCount(asObject(value)?.tenure);
}

export function encodeLease(ttlMs: number): Json {
  return { lifeMs: ttlMs };
}

export function decodeEvents(value: unknown): { revision: number; events: ChangeEvent[] } | null {
  const o = asObject(value);
  const revision = asCount(o?.ring);
  const list = asList(o?.news);
  if (!o || revision === null || !list) return null;
  const events: ChangeEvent[] = [];
  for (const entry of list) {
    const e = asObject(entry);
    const version = asCount(e?.stamp);
    if (!e || version === null) return null;
    const put = asText(e.set);
    const drop = asText(e.drop);
    if (put !== null) events.push({ key: put, value: e.data, version });
    else if (drop !== null) events.push({ key: drop, gone: true, version });
  }
  return { revision, events };
}
