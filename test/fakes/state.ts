import type { Reply } from "../../src/transport/httpClient.js";
import type { SimClock } from "./clock.js";
import type { SimNet, SimRequest } from "./net.js";

interface Entry {
  data: unknown;
  stamp: number;
  tenure?: number;
}

/** The state service by its published protocol, with outages and with nodes it refuses. */
export class SimState {
  readonly keys = new Map<string, Entry>();
  private readonly leases = new Map<number, { lifeMs: number; endMs: number }>();
  private readonly log: { ring: number; key: string; data?: unknown; drop: boolean }[] = [];
  private watches: { prefix: string; after: number; answer: (r: Reply) => void; off: boolean }[] = [];
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
    net.listen(address, (q, answer, from) => {
      const slowly = (reply: Reply): void => {
        const waitMs = this.clock.nowMs() < this.slowUntilMs ? this.random() * this.slowMs : 0;
        if (waitMs > 0) this.clock.after(waitMs, () => answer(reply));
        else answer(reply);
      };
      this.serve(q, slowly, from);
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
      for (const l of this.leases.values()) l.endMs = this.clock.nowMs() + l.lifeMs;
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
    for (const [id, l] of this.leases) if (l.endMs <= now) this.endLease(id);
  }

  private endLease(id: number): void {
    if (!this.leases.delete(id)) return;
    const mine = [...this.keys].filter(([, e]) => e.tenure === id).map(([k]) => k);
    if (mine.length === 0) return;
    this.ring++;
    for (const key of mine) {
      this.keys.delete(key);
      this.log.push({ ring: this.ring, key, drop: true });
    }
    this.notify();
  }

  private notify(): void {
    for (const w of this.watches) this.tryWatch(w);
    this.watches = this.watches.filter((w) => !w.off);
  }

  private tryWatch(w: { prefix: string; after: number; answer: (r: Reply) => void; off: boolean }): void {
    const news = this.log.filter((e) => e.ring > w.after && e.key.startsWith(w.prefix));
    if (w.off || news.length === 0 || this.clock.nowMs() < this.outageUntilMs) return;
    w.off = true;
    w.answer({
      status: 200,
      body: {
        ring: this.ring,
        news: news.map((e) =>
          e.drop ? { drop: e.key, stamp: e.ring } : { set: e.key, data: e.data, stamp: e.ring },
        ),
      },
    });
  }

  private serve(q: SimRequest, answer: (r: Reply) => void, from: string): void {
    const now = this.clock.nowMs();
    if (now < this.outageUntilMs || (this.refused.get(from) ?? -Infinity) > now) {
      answer({ status: 503, body: {} });
      return;
    }
    this.expire();
    const url = new URL(q.path, "http://state");
    const parts = url.pathname.split("/").slice(1);
    const body = q.body as Record<string, unknown> | undefined;
    if (parts[0] === "keys" && parts.length > 1) {
      const path = parts.slice(1).join("/");
      const e = this.keys.get(path);
      answer(e ? { status: 200, body: { path, ...e } } : { status: 404, body: { ring: this.ring } });
    } else if (parts[0] === "keys") {
      const prefix = url.searchParams.get("prefix") ?? "";
      const after = url.searchParams.get("after") ?? "";
      const limit = Math.min(1000, Number(url.searchParams.get("limit") ?? 1000));
      const all = [...this.keys.keys()].filter((k) => k.startsWith(prefix) && k > after).sort();
      const entries = all.slice(0, limit).map((path) => ({ path, ...this.keys.get(path)! }));
      answer({ status: 200, body: { entries, more: all.length > limit, ring: this.ring } });
    } else if (parts[0] === "commit") {
      if (now >= this.lateUntilMs || this.random() >= this.lateShare) answer(this.commit(body!));
      else this.clock.after(2000 + this.random() * 10_000, () => this.commit(body!));
    } else if (parts[0] === "changes") {
      const w = {
        prefix: url.searchParams.get("prefix") ?? "",
        after: Number(url.searchParams.get("after")),
        answer,
        off: false,
      };
      this.watches.push(w);
      this.clock.after(Number(url.searchParams.get("holdMs") ?? 0), () => {
        if (w.off) return;
        w.off = true;
        answer({ status: 200, body: { ring: this.ring, news: [] } });
      });
      this.notify();
    } else if (parts[0] === "holds" && parts.length === 1) {
      const id = this.nextLease++;
      const lifeMs = Number(body!.lifeMs);
      this.leases.set(id, { lifeMs, endMs: now + lifeMs });
      answer({ status: 200, body: { tenure: id } });
    } else if (parts[0] === "holds") {
      const id = Number(parts[1]);
      const l = this.leases.get(id);
      if (q.method === "DELETE") this.endLease(id);
      else if (l) l.endMs = now + l.lifeMs;
      answer(l ? { status: 200, body: {} } : { status: 404, body: {} });
    } else answer({ status: 400, body: {} });
  }

  private commit(body: Record<string, unknown>): Reply {
    const guards = body.guards as { path: string; stamp: number }[];
    const then = (body.then ?? []) as ({ set: string; data: unknown; tenure?: number } | { drop: string })[];
    this.writes += then.length;
    const tooBig = then.some((c) => "set" in c && JSON.stringify(c.data).length > this.valueKb * 1024);
    if (then.length > this.txnOps || guards.length > this.txnOps * 4 || tooBig) {
      return { status: 400, body: { error: "too much" } };
    }
    const failed = guards.filter((g) => (this.keys.get(g.path)?.stamp ?? 0) !== g.stamp).map((g) => g.path);
    if (failed.length > 0) return { status: 409, body: { failed, ring: this.ring } };
    for (const c of then) {
      if ("set" in c && c.tenure !== undefined && !this.leases.has(c.tenure)) {
        return { status: 400, body: { error: "no such lease" } };
      }
    }
    this.ring++;
    for (const c of then) {
      if ("set" in c) {
        this.keys.set(c.set, {
          data: c.data,
          stamp: this.ring,
          ...(c.tenure === undefined ? {} : { tenure: c.tenure }),
        });
        this.log.push({ ring: this.ring, key: c.set, data: c.data, drop: false });
      } else {
        this.keys.delete(c.drop);
        this.log.push({ ring: this.ring, key: c.drop, drop: true });
      }
    }
    this.notify();
    return { status: 200, body: { ring: this.ring } };
  }
}
