import { TokenBucket } from "../transport/tokenBucket.js";
import type { Clock } from "../transport/clock.js";
import type { HttpCaller, ClientResponse } from "../transport/httpClient.js";
import {
  decodeChangeEvents,
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

export type { Change, ChangeEvent as Event, VersionCondition as Guard, Item };

export type CompareAndSwapOutcome =
  | { kind: "ok"; revision: number }
  | { kind: "conflict"; failed: string[] }
  /** Certainly not executed. */
  | { kind: "refused" }
  | { kind: "no lease" }
  /** Executed, or not, or later: only reading tells. */
  | { kind: "unknown" };

export type ReadOutcome = { kind: "found"; item: Item } | { kind: "absent" } | { kind: "failed" };
export type ListOutcome = { kind: "ok"; items: Item[]; revision: number } | { kind: "failed" };
export type WatchOutcome =
  { kind: "ok"; revision: number; events: ChangeEvent[] } | { kind: "too old" } | { kind: "failed" };

const PAGE = 500;

/** One node's way to the state service, within its share of the service's limits. */
export class StateStoreClient {
  private readonly requests: TokenBucket;
  private readonly writes: TokenBucket;
  /** When the last request that was served had been sent; the start of a proof that we are served. */
  lastServedSentMs = -Infinity;
  /** When the service last refused us or left us without an answer. */
  lastRefusedMs = -Infinity;

  constructor(
    private readonly http: HttpCaller,
    private readonly clock: Clock,
    private readonly address: string,
    limits: { rps: number; writeRps: number; nodes: number },
  ) {
    const now = clock.nowMs();
    // The limits are the cluster's. The leader writes most, so a node may use over its even share,
    // and a 429 (certainly not executed) tells it when all of them together took too much.
    const reads = limits.nodes > 1 ? 0.5 : 0.95;
    const writes = limits.nodes > 1 ? 0.75 : 0.95;
    this.requests = new TokenBucket(limits.rps * reads, limits.rps * reads, now);
    this.writes = new TokenBucket(limits.writeRps * writes, limits.writeRps * writes, now);
  }

  availableWrites(): number {
    return this.writes.available(this.clock.nowMs());
  }

  writeWaitMs(count: number): number {
    return this.writes.waitMs(count, this.clock.nowMs());
  }

  async get(key: string, deadlineMs: number): Promise<ReadOutcome> {
    const reply = await this.send("GET", stateStorePaths.key(key), undefined, deadlineMs);
    if (reply?.status === 404) return { kind: "absent" };
    const item = reply?.status === 200 ? decodeItem(reply.body) : null;
    return item ? { kind: "found", item } : { kind: "failed" };
  }

  /** All keys with the prefix. The revision is that of the first page: what changed since is seen by a watch. */
  async list(prefix: string, deadlineMs: number): Promise<ListOutcome> {
    const items: Item[] = [];
    let revision = -1;
    let after: string | null = null;
    for (;;) {
      const reply = await this.send("GET", stateStorePaths.page(prefix, after, PAGE), undefined, deadlineMs);
      const page = reply?.status === 200 ? decodePage(reply.body) : null;
      if (!page) return { kind: "failed" };
      if (revision < 0) revision = page.revision;
      for (const item of page.items) items.push(item);
      const last = page.items.at(-1);
      if (!page.more || !last) return { kind: "ok", items, revision };
      after = last.key;
    }
  }

  async compareAndSwap(
    guards: VersionCondition[],
    changes: Change[],
    deadlineMs: number,
  ): Promise<CompareAndSwapOutcome> {
    const now = this.clock.nowMs();
    if (now + this.writes.waitMs(changes.length, now) > deadlineMs) return { kind: "refused" };
    const wait = this.writes.reserveMs(changes.length, now);
    if (wait > 0) await this.sleep(wait);
    let lost = false;
    const reply = await this.send(
      "POST",
      stateStorePaths.compareAndSwap,
      encodeCompareAndSwap(guards, changes),
      deadlineMs,
      () => {
        lost = true;
      },
    );
    if (!reply) return lost ? { kind: "unknown" } : { kind: "refused" };
    if (reply.status === 200) {
      const revision = decodeRevision(reply.body);
      return revision === null ? { kind: "unknown" } : { kind: "ok", revision };
    }
    if (reply.status === 409) return { kind: "conflict", failed: decodeFailedKeys(reply.body) };
    if (reply.status === 400) return { kind: "no lease" };
    return { kind: "refused" };
  }

  async openLease(ttlMs: number, deadlineMs: number): Promise<number | null> {
    const reply = await this.send("POST", stateStorePaths.leases, encodeLeaseRequest(ttlMs), deadlineMs);
    return reply?.status === 200 ? decodeLeaseId(reply.body) : null;
  }

  async renewLease(id: number, deadlineMs: number): Promise<"ok" | "ended" | "failed"> {
    const reply = await this.send("POST", stateStorePaths.renew(id), {}, deadlineMs);
    if (reply?.status === 200) return "ok";
    return reply?.status === 404 ? "ended" : "failed";
  }

  async endLease(id: number, deadlineMs: number): Promise<void> {
    await this.send("DELETE", stateStorePaths.lease(id), undefined, deadlineMs);
  }

  async watch(prefix: string, after: number, waitMs: number, deadlineMs?: number): Promise<WatchOutcome> {
    const deadline = deadlineMs ?? this.clock.nowMs() + waitMs + 3000;
    const reply = await this.send("GET", stateStorePaths.watch(prefix, after, waitMs), undefined, deadline);
    if (reply?.status === 410) return { kind: "too old" };
    const got = reply?.status === 200 ? decodeChangeEvents(reply.body) : null;
    return got ? { kind: "ok", ...got } : { kind: "failed" };
  }

  private sleep(ms: number): Promise<void> {
    return new Promise((resolve) => this.clock.after(ms, resolve));
  }

  /** Null when there was no useful answer by the deadline; `onLost` says that it may have been executed. */
  private async send(
    method: string,
    path: string,
    body: unknown,
    deadlineMs: number,
    onLost?: () => void,
  ): Promise<ClientResponse | null> {
    let pauseMs = 25;
    for (;;) {
      const now = this.clock.nowMs();
      if (now + this.requests.waitMs(1, now) >= deadlineMs) return null;
      const wait = this.requests.reserveMs(1, now);
      if (wait > 0) await this.sleep(wait);
      const sentMs = this.clock.nowMs();
      let reply: ClientResponse;
      try {
        reply = await this.http.call(this.address, method, path, body, Math.max(1, deadlineMs - sentMs));
      } catch {
        this.lastRefusedMs = this.clock.nowMs();
        onLost?.();
        return null;
      }
      if (reply.status === 429) {
        // Too much from all of us together; certainly not executed, so it can be sent again.
        if (this.clock.nowMs() + pauseMs >= deadlineMs) return reply;
        await this.sleep(pauseMs);
        pauseMs = Math.min(pauseMs * 2, 200);
        continue;
      }
      if (reply.status === 503) this.lastRefusedMs = this.clock.nowMs();
      else this.lastServedSentMs = Math.max(this.lastServedSentMs, sentMs);
      return reply;
    }
  }
}
