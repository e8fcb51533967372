import type { ClientResponse } from "../../src/transport/httpClient.js";
import type { SimClock } from "./clock.js";
import type { SimNet, SimRequest } from "./net.js";

interface Entry {
  data: unknown;
  stamp: number;
  tenure?: number;
}

type Change = { set: string; data: unknown; tenure?: number } | { drop: string };
type Answer = (reply: ClientResponse) => void;

/** A request that waits for changes after a revision. */
interface Watch {
  prefix: string;
  after: number;
  answer: Answer;
  answered: boolean;
}

/** The state service by its published protocol, with outages and with nodes it refuses. */
export class SimState {
  readonly keys = new Map<string, Entry>();
  private readonly leases = new Map<number, { lifeMs: number; endMs: number }>();
  private readonly log: { ring: number; key: string; data?: unknown; drop: boolean }[] = [];
  private watches: Watch[] = [];
  private ring = 1;
  private nextLease = 1;
  private outageUntilMs = -Infinity;
  private readonly refused = new Map<string, number>();
  writes = 0;
  /** That share of transactions gets no answer and is carried out 2 to 12 s later. */
  private lateShare = 0;
  private lateUntilMs = -Infinity;
  private slowMs = 0;
  private slowUntilMs = -Infinity;

  constructor(
    private readonly clock: SimClock,
    net: SimNet,
    private readonly random: () => number,
    readonly address: string,
    private readonly txnOps = 20,
    private readonly valueKb = 8,
  ) {
    net.listen(address, (request, answer, from) => {
      const slowly = (reply: ClientResponse): void => {
        const waitMs = this.clock.nowMs() < this.slowUntilMs ? this.random() * this.slowMs : 0;
        if (waitMs > 0) this.clock.after(waitMs, () => answer(reply));
        else answer(reply);
      };
      this.serve(request, slowly, from);
    });
    const sweep = (): void => {
      this.expire();
      this.clock.after(50, sweep);
    };
    sweep();
  }

  outage(forMs: number): void {
    this.outageUntilMs = this.clock.nowMs() + forMs;
    this.clock.after(forMs, () => {
      for (const lease of this.leases.values()) lease.endMs = this.clock.nowMs() + lease.lifeMs;
    });
  }

  /** Every answer takes up to so much longer. */
  slow(byMs: number, forMs: number): void {
    this.slowMs = byMs;
    this.slowUntilMs = this.clock.nowMs() + forMs;
  }

  lateWrites(share: number, forMs: number): void {
    this.lateShare = share;
    this.lateUntilMs = this.clock.nowMs() + forMs;
  }

  refuse(host: string, forMs: number): void {
    this.refused.set(host, this.clock.nowMs() + forMs);
  }

  private expire(): void {
    const now = this.clock.nowMs();
    if (now < this.outageUntilMs) return;
    for (const [id, lease] of this.leases) if (lease.endMs <= now) this.endLease(id);
  }

  private endLease(id: number): void {
    if (!this.leases.delete(id)) return;
    const attached = [...this.keys].filter(([, entry]) => entry.tenure === id).map(([key]) => key);
    if (attached.length === 0) return;
    this.ring++;
    for (const key of attached) {
      this.keys.delete(key);
      this.log.push({ ring: this.ring, key, drop: true });
    }
    this.notify();
  }

  private notify(): void {
    for (const watch of this.watches) this.tryWatch(watch);
    this.watches = this.watches.filter((watch) => !watch.answered);
  }

  private tryWatch(watch: Watch): void {
    const news = this.log.filter(
      (change) => change.ring > watch.after && change.key.startsWith(watch.prefix),
    );
    if (watch.answered || news.length === 0 || this.clock.nowMs() < this.outageUntilMs) return;
    watch.answered = true;
    watch.answer({
      status: 200,
      body: {
        ring: this.ring,
        news: news.map(({ ring, key, data, drop }) =>
          drop ? { drop: key, stamp: ring } : { set: key, data, stamp: ring },
        ),
      },
    });
  }

  private serve(request: SimRequest, answer: Answer, from: string): void {
    const now = this.clock.nowMs();
    if (now < this.outageUntilMs || (this.refused.get(from) ?? -Infinity) > now) {
      answer({ status: 503, body: {} });
      return;
    }
    this.expire();
    const url = new URL(request.path, "http://state");
    const [resource, ...rest] = url.pathname.split("/").slice(1);
    const body = (request.body ?? {}) as Record<string, unknown>;
    if (resource === "keys" && rest.length > 0) answer(this.read(rest.join("/")));
    else if (resource === "keys") answer(this.page(url.searchParams));
    else if (resource === "commit") this.commitNowOrLate(body, answer);
    else if (resource === "changes") this.watch(url.searchParams, answer);
    else if (resource === "holds" && rest.length === 0) answer(this.openLease(Number(body.lifeMs)));
    else if (resource === "holds") answer(this.renewOrEnd(request.method, Number(rest[0])));
    else answer({ status: 400, body: {} });
  }

  private read(path: string): ClientResponse {
    const entry = this.keys.get(path);
    return entry ? { status: 200, body: { path, ...entry } } : { status: 404, body: { ring: this.ring } };
  }

  private page(query: URLSearchParams): ClientResponse {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const limit = Math.min(1000, Number(query.get("limit") ?? 1000));
    const all = [...this.keys.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const entries = all.slice(0, limit).map((path) => ({ path, ...this.keys.get(path)! }));
    return { status: 200, body: { entries, more: all.length > limit, ring: this.ring } };
  }

  private commitNowOrLate(body: Record<string, unknown>, answer: Answer): void {
    const late = this.clock.nowMs() < this.lateUntilMs && this.random() < this.lateShare;
    if (late) this.clock.after(2000 + this.random() * 10_000, () => this.commit(body));
    else answer(this.commit(body));
  }

  private watch(query: URLSearchParams, answer: Answer): void {
    const watch: Watch = {
      prefix: query.get("prefix") ?? "",
      after: Number(query.get("after")),
      answer,
      answered: false,
    };
    this.watches.push(watch);
    this.clock.after(Number(query.get("holdMs") ?? 0), () => {
      if (watch.answered) return;
      watch.answered = true;
      answer({ status: 200, body: { ring: this.ring, news: [] } });
    });
    this.notify();
  }

  private openLease(lifeMs: number): ClientResponse {
    const id = this.nextLease++;
    this.leases.set(id, { lifeMs, endMs: this.clock.nowMs() + lifeMs });
    return { status: 200, body: { tenure: id } };
  }

  private renewOrEnd(method: string, id: number): ClientResponse {
    const lease = this.leases.get(id);
    if (method === "DELETE") this.endLease(id);
    else if (lease) lease.endMs = this.clock.nowMs() + lease.lifeMs;
    return lease ? { status: 200, body: {} } : { status: 404, body: {} };
  }

  private commit(body: Record<string, unknown>): ClientResponse {
    const guards = body.guards as { path: string; stamp: number }[];
    const changes = (body.then ?? []) as Change[];
    this.writes += changes.length;
    const tooBig = changes.some(
      (change) => "set" in change && JSON.stringify(change.data).length > this.valueKb * 1024,
    );
    if (changes.length > this.txnOps || guards.length > this.txnOps * 4 || tooBig) {
      return { status: 400, body: { error: "too much" } };
    }
    const failed = guards
      .filter((guard) => (this.keys.get(guard.path)?.stamp ?? 0) !== guard.stamp)
      .map((guard) => guard.path);
    if (failed.length > 0) return { status: 409, body: { failed, ring: this.ring } };
    for (const change of changes) {
      if ("set" in change && change.tenure !== undefined && !this.leases.has(change.tenure)) {
        return { status: 400, body: { error: "no such lease" } };
      }
    }
    this.ring++;
    for (const change of changes) this.apply(change);
    this.notify();
    return { status: 200, body: { ring: this.ring } };
  }

  private apply(change: Change): void {
    if ("drop" in change) {
      this.keys.delete(change.drop);
      this.log.push({ ring: this.ring, key: change.drop, drop: true });
      return;
    }
    const { set: key, data, tenure } = change;
    this.keys.set(key, { data, stamp: this.ring, ...(tenure === undefined ? {} : { tenure }) });
    this.log.push({ ring: this.ring, key, data, drop: false });
  }
}
