/**
 * Client of the state store. It respects the store's rate limits, retries requests that are known not to have been
 * executed, and reports the outcome of a write without a response as unknown.
 */
import { TokenBucket } from "../transport/tokenBucket.js";
import type { Clock } from "../transport/clock.js";
import type { HttpCaller, ClientResponse } from "../transport/httpClient.js";
import {
  decodeWatchResponse,
  decodeFailedKeys,
  decodeItem,
  decodeLeaseId,
  decodePage,
  decodeRevision,
  encodeCompareAndSwap,
  encodeLeaseRequest,
  stateStorePaths,
  type Change,
  type ChangeEvent,
  type VersionCondition,
  type Item,
} from "../protocol/stateStore.js";

export type { Change, ChangeEvent, Item, VersionCondition };

/** Outcome of a compare-and-swap. */
export type CompareAndSwapOutcome =
  /** The transaction was executed at `revision`. */
  | { kind: "ok"; revision: number }
  /** The transaction was not executed because the conditions on the `failed` keys did not hold. */
  | { kind: "conflict"; failed: string[] }
  /** The transaction was not executed: the deadline was too close, or the state store rejected the request. */
  | { kind: "refused" }
  /** The transaction was not executed because it attached a key to a lease that does not exist. */
  | { kind: "no lease" }
  /** There was no usable response: the transaction may have been executed or may still be; only a read can tell. */
  | { kind: "unknown" };

/** Outcome of reading one key; `failed` means that no usable response arrived in time. */
export type ReadOutcome = { kind: "found"; item: Item } | { kind: "absent" } | { kind: "failed" };
/** Outcome of reading all keys with a prefix; `failed` means that no usable response arrived in time. */
export type ListOutcome = { kind: "ok"; items: Item[]; revision: number } | { kind: "failed" };
/** Outcome of a watch; `too old` means that the store no longer has the changes, so all keys must be read again. */
export type WatchOutcome =
  { kind: "ok"; revision: number; events: ChangeEvent[] } | { kind: "too old" } | { kind: "failed" };

/** Outcome of a lease renewal; `ended` means that the lease no longer exists. */
export type RenewalOutcome = "ok" | "ended" | "failed";

/** Rate limits that the state store sets for the whole cluster. */
export interface StateStoreLimits {
  /** Requests per second. */
  rps: number;
  /** Key changes per second. */
  writeRps: number;
  /** Number of controllers that share the limits. */
  controllers: number;
}

/** Number of items per page of a list. */
const LIST_PAGE_SIZE = 500;
/** Time allowed for the response to a watch beyond the watch's own wait. */
const WATCH_RESPONSE_MARGIN_MS = 3000;
/** Back-off before a rate-limited request is retried; it doubles with each retry up to the maximum. */
const FIRST_RATE_LIMIT_PAUSE_MS = 25;
const MAX_RATE_LIMIT_PAUSE_MS = 200;

/** Share of the cluster's limits that one controller uses, depending on whether it is the only controller. */
const SINGLE_CONTROLLER_SHARE = 0.95;
const MULTI_CONTROLLER_REQUEST_SHARE = 0.5;
const MULTI_CONTROLLER_WRITE_SHARE = 0.75;

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_GONE = 410;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_SERVICE_UNAVAILABLE = 503;

/** Outcome of one HTTP request. */
type SendOutcome =
  | ClientResponse
  /** The request was not sent because the deadline was too close. */
  | { status: "not sent" }
  /** There was no response: the request may have been executed or may still be. */
  | { status: "lost" };

/**
 * One controller's client of the state store, limited to its share of the rate limits. Each call finishes by its
 * deadline (steady time in milliseconds) with an outcome and never throws.
 */
export class StateStoreClient {
  private readonly requests: TokenBucket;
  private readonly writes: TokenBucket;
  /** When the newest request that the state store served was sent; the store was reachable at least until then. */
  lastServedRequestSentMs = -Infinity;
  /** When a request last failed without a response or was answered with 503 (unavailable). */
  lastRefusedMs = -Infinity;

  constructor(
    private readonly http: HttpCaller,
    private readonly clock: Clock,
    private readonly address: string,
    limits: StateStoreLimits,
  ) {
    const nowMs = clock.nowMs();
    // The limits apply to the whole cluster. The leader sends most requests, so a controller may use more than an even
    // share. If all controllers together exceed a limit, the store responds with 429 and does not execute the request.
    const isSingleController = limits.controllers <= 1;
    const requestsPerS =
      limits.rps * (isSingleController ? SINGLE_CONTROLLER_SHARE : MULTI_CONTROLLER_REQUEST_SHARE);
    const writesPerS =
      limits.writeRps * (isSingleController ? SINGLE_CONTROLLER_SHARE : MULTI_CONTROLLER_WRITE_SHARE);
    this.requests = new TokenBucket(requestsPerS, requestsPerS, nowMs);
    this.writes = new TokenBucket(writesPerS, writesPerS, nowMs);
  }

  /** Number of key changes that the write rate limit currently allows. */
  availableWrites(): number {
    return this.writes.available(this.clock.nowMs());
  }

  /** Time in milliseconds until the write rate limit allows `count` key changes. */
  writeWaitMs(count: number): number {
    return this.writes.waitMs(count, this.clock.nowMs());
  }

  async get(key: string, deadlineMs: number): Promise<ReadOutcome> {
    const response = await this.send("GET", stateStorePaths.key(key), undefined, deadlineMs);
    if (response.status === HTTP_NOT_FOUND) return { kind: "absent" };
    const item = response.status === HTTP_OK ? decodeItem(response.body) : null;
    return item ? { kind: "found", item } : { kind: "failed" };
  }

  /** Reads all keys with the prefix. The revision is the first page's, so a watch from it shows all later changes. */
  async list(prefix: string, deadlineMs: number): Promise<ListOutcome> {
    const items: Item[] = [];
    let revision = -1;
    let after: string | null = null;
    for (;;) {
      const path = stateStorePaths.page(prefix, after, LIST_PAGE_SIZE);
      const response = await this.send("GET", path, undefined, deadlineMs);
      const page = response.status === HTTP_OK ? decodePage(response.body) : null;
      if (!page) return { kind: "failed" };
      if (revision < 0) revision = page.revision;
      for (const item of page.items) items.push(item);
      const last = page.items.at(-1);
      if (!page.more || !last) return { kind: "ok", items, revision };
      after = last.key;
    }
  }

  /** Makes all changes atomically if all conditions hold. Waits for the write rate limit if the deadline allows it. */
  async compareAndSwap(
    conditions: VersionCondition[],
    changes: Change[],
    deadlineMs: number,
  ): Promise<CompareAndSwapOutcome> {
    const nowMs = this.clock.nowMs();
    if (nowMs + this.writes.waitMs(changes.length, nowMs) > deadlineMs) return { kind: "refused" };
    const waitMs = this.writes.reserveMs(changes.length, nowMs);
    if (waitMs > 0) await this.sleep(waitMs);
    const body = encodeCompareAndSwap(conditions, changes);
    const response = await this.send("POST", stateStorePaths.compareAndSwap, body, deadlineMs);
    switch (response.status) {
      case "lost":
        return { kind: "unknown" };
      case HTTP_OK: {
        const revision = decodeRevision(response.body);
        return revision === null ? { kind: "unknown" } : { kind: "ok", revision };
      }
      case HTTP_CONFLICT:
        return { kind: "conflict", failed: decodeFailedKeys(response.body) };
      case HTTP_BAD_REQUEST:
        return { kind: "no lease" };
      default:
        return { kind: "refused" };
    }
  }

  /** Creates a lease and returns its id; null if no lease was created or its id is not known. */
  async openLease(ttlMs: number, deadlineMs: number): Promise<number | null> {
    const body = encodeLeaseRequest(ttlMs);
    const response = await this.send("POST", stateStorePaths.leases, body, deadlineMs);
    return response.status === HTTP_OK ? decodeLeaseId(response.body) : null;
  }

  async renewLease(id: number, deadlineMs: number): Promise<RenewalOutcome> {
    const response = await this.send("POST", stateStorePaths.renew(id), {}, deadlineMs);
    if (response.status === HTTP_OK) return "ok";
    return response.status === HTTP_NOT_FOUND ? "ended" : "failed";
  }

  /** Revokes the lease; if the request is lost, the lease expires at the end of its time to live. */
  async endLease(id: number, deadlineMs: number): Promise<void> {
    await this.send("DELETE", stateStorePaths.lease(id), undefined, deadlineMs);
  }

  /** Reads the changes after a revision; waits up to `waitMs` for the first one. */
  async watch(prefix: string, after: number, waitMs: number, deadlineMs?: number): Promise<WatchOutcome> {
    const endMs = deadlineMs ?? this.clock.nowMs() + waitMs + WATCH_RESPONSE_MARGIN_MS;
    const response = await this.send("GET", stateStorePaths.watch(prefix, after, waitMs), undefined, endMs);
    if (response.status === HTTP_GONE) return { kind: "too old" };
    const decoded = response.status === HTTP_OK ? decodeWatchResponse(response.body) : null;
    return decoded ? { kind: "ok", ...decoded } : { kind: "failed" };
  }

  private sleep(ms: number): Promise<void> {
    return new Promise((resolve) => this.clock.after(ms, resolve));
  }

  /** Sends a request within the rate limit, and retries it after each 429 until the deadline. */
  private async send(method: string, path: string, body: unknown, deadlineMs: number): Promise<SendOutcome> {
    let pauseMs = FIRST_RATE_LIMIT_PAUSE_MS;
    for (;;) {
      const nowMs = this.clock.nowMs();
      if (nowMs + this.requests.waitMs(1, nowMs) >= deadlineMs) return { status: "not sent" };
      const waitMs = this.requests.reserveMs(1, nowMs);
      if (waitMs > 0) await this.sleep(waitMs);
      const sentMs = this.clock.nowMs();
      const timeoutMs = Math.max(1, deadlineMs - sentMs);
      let response: ClientResponse;
      try {
        response = await this.http.call(this.address, method, path, body, timeoutMs);
      } catch {
        this.lastRefusedMs = this.clock.nowMs();
        return { status: "lost" };
      }
      if (response.status !== HTTP_TOO_MANY_REQUESTS) {
        if (response.status === HTTP_SERVICE_UNAVAILABLE) this.lastRefusedMs = this.clock.nowMs();
        else this.lastServedRequestSentMs = Math.max(this.lastServedRequestSentMs, sentMs);
        return response;
      }
      // The controllers together exceeded the rate limit. The request was not executed, so a retry is safe.
      if (this.clock.nowMs() + pauseMs >= deadlineMs) return response;
      await this.sleep(pauseMs);
      pauseMs = Math.min(pauseMs * 2, MAX_RATE_LIMIT_PAUSE_MS);
    }
  }
}
