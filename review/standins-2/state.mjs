/**
 * A stand-in of the state service as PROTOCOL describes it. Each controller gets a port of its own, so that one of them
 * can be refused alone. It keeps the limits on values, transactions and rates.
 */
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { clearInterval, setInterval, setTimeout } from "node:timers";
import { sleep, startServer, stopServer } from "./http.mjs";

const KEPT_CHANGES = 10_000;
const PAGE_BYTES = 512 * 1024;
const TROUBLE = { status: 503, body: { error: "trouble" } };
const TOO_MANY = { status: 429, body: { error: "too many requests" } };

/** A limit per second that allows a burst of one second's worth. */
class Rate {
  constructor(perSecond) {
    this.perSecond = perSecond;
    this.left = perSecond;
    this.at = performance.now();
  }

  take(count) {
    const now = performance.now();
    this.left = Math.min(this.perSecond, this.left + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (this.left < count) return false;
    this.left -= count;
    return true;
  }
}

export class StateService {
  constructor({ rps, writeRps, valueKb, txnOps, note }) {
    Object.assign(this, { valueKb, txnOps, note });
    this.requests = new Rate(rps);
    this.writes = new Rate(writeRps);
    this.keys = new Map();
    this.holds = new Map();
    this.changes = [];
    this.watches = new Set();
    this.ring = 1;
    this.lastHold = 0;
    /** Names of controllers that get 503; "all" for an outage. */
    this.refused = new Set();
    /** Names of controllers that can't reach the service: they get no answer. */
    this.silentTo = new Set();
    /** Milliseconds that an answer takes. */
    this.latencyMs = () => 2;
    this.ports = new Map();
    this.servers = [];
    this.refusals = 0;
  }

  async start(nodes) {
    for (const node of nodes) {
      const started = await startServer((request) => this.serve(node, request));
      this.servers.push(started);
      this.ports.set(node, started.port);
    }
    this.timer = setInterval(() => this.expire(), 25);
  }

  stop() {
    clearInterval(this.timer);
    for (const server of this.servers) stopServer(server);
  }

  /** Ends an outage: all leases have their full time again. */
  endOutage() {
    this.refused.clear();
    for (const hold of this.holds.values()) hold.endsAt = performance.now() + hold.lifeMs;
  }

  isRefused(node) {
    return this.refused.has("all") || this.refused.has(node);
  }

  async serve(node, request) {
    await sleep(this.latencyMs(node, request));
    if (request.tooLarge || this.silentTo.has(node)) return null;
    if (this.isRefused(node)) return TROUBLE;
    if (!this.requests.take(1)) return TOO_MANY;
    const { method, url, body } = request;
    const path = url.pathname;
    if (path === "/changes") return this.watch(node, url.searchParams);
    if (path === "/keys") return this.list(url.searchParams);
    if (path.startsWith("/keys/")) return this.get(decodeURIComponent(path.slice(6)));
    if (path === "/commit" && method === "POST") return this.commit(body, node);
    return this.serveHold(method, path, body);
  }

  get(key) {
    const entry = this.keys.get(key);
    if (!entry) return { status: 404, body: { ring: this.ring } };
    return { status: 200, body: { path: key, ...entry } };
  }

  list(query) {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const limit = Math.min(1000, Number(query.get("limit") ?? 1000));
    const names = [...this.keys.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const entries = [];
    let bytes = 0;
    for (const path of names) {
      const entry = { path, ...this.keys.get(path) };
      bytes += JSON.stringify(entry).length;
      if (entries.length >= limit || bytes > PAGE_BYTES) break;
      entries.push(entry);
    }
    return { status: 200, body: { entries, more: entries.length < names.length, ring: this.ring } };
  }

  /** Why a transaction is malformed or over a limit; null if it is neither. */
  fault({ guards = [], then = [] }) {
    if (then.length > this.txnOps || guards.length > 4 * this.txnOps) return "too many changes or conditions";
    for (const change of then) {
      const bytes = change.set === undefined ? 0 : Buffer.byteLength(JSON.stringify(change.data));
      if (bytes > this.valueKb * 1024) return `value of ${change.set} too large: ${bytes} bytes`;
    }
    return null;
  }

  commit(body, node) {
    const { guards = [], then = [] } = body ?? {};
    if (!this.writes.take(then.length)) return TOO_MANY;
    const fault = this.fault({ guards, then });
    if (fault) {
      this.refusals++;
      if (this.refusals <= 20 || this.refusals % 100 === 0)
        this.note(`state service: 400 to ${node}: ${fault} (${this.refusals} such answers so far)`);
      return { status: 400, body: { error: fault } };
    }
    const failed = guards.filter(({ path, stamp }) => (this.keys.get(path)?.stamp ?? 0) !== stamp);
    if (failed.length > 0)
      return { status: 409, body: { failed: failed.map(({ path }) => path), ring: this.ring } };
    if (then.some(({ tenure }) => tenure !== undefined && !this.holds.has(tenure)))
      return { status: 400, body: { error: "no such lease" } };
    if (then.length > 0) this.apply(then);
    return { status: 200, body: { ring: this.ring } };
  }

  apply(then) {
    this.ring++;
    for (const { set, data, tenure, drop } of then) {
      if (set !== undefined) {
        this.keys.set(set, { data, stamp: this.ring, ...(tenure === undefined ? {} : { tenure }) });
        this.changes.push({ set, data, stamp: this.ring });
      } else if (this.keys.delete(drop)) this.changes.push({ drop, stamp: this.ring });
    }
    while (this.changes.length > KEPT_CHANGES) this.forgottenUpTo = this.changes.shift().stamp;
    for (const watch of [...this.watches]) this.answerWatch(watch, false);
  }

  serveHold(method, path, body) {
    const [, , id, verb] = path.split("/");
    if (method === "POST" && id === undefined) {
      const lifeMs = body.lifeMs;
      this.holds.set(++this.lastHold, { lifeMs, endsAt: performance.now() + lifeMs });
      return { status: 200, body: { tenure: this.lastHold } };
    }
    const hold = this.holds.get(Number(id));
    if (!hold) return { status: 404, body: { error: "no such lease" } };
    if (verb === "renew") hold.endsAt = performance.now() + hold.lifeMs;
    else this.endHold(Number(id));
    return { status: 200, body: {} };
  }

  expire() {
    if (this.refused.has("all")) return;
    for (const [id, { endsAt }] of this.holds) if (performance.now() > endsAt + 50) this.endHold(id);
  }

  endHold(id) {
    this.holds.delete(id);
    const names = [...this.keys].filter(([, { tenure }]) => tenure === id).map(([path]) => path);
    if (names.length > 0) this.apply(names.map((drop) => ({ drop })));
  }

  watch(node, query) {
    const after = Number(query.get("after"));
    if (after < (this.forgottenUpTo ?? 0)) return { status: 410, body: { error: "too old" } };
    return new Promise((resolve) => {
      const watch = { node, prefix: query.get("prefix") ?? "", after, resolve };
      this.watches.add(watch);
      const holdMs = Math.min(60_000, Number(query.get("holdMs") ?? 0));
      if (holdMs === 0) this.answerWatch(watch, true);
      else if (!this.answerWatch(watch, false)) setTimeout(() => this.answerWatch(watch, true), holdMs);
    });
  }

  /** Answers a watch if there are changes or its time is up; during an outage, it waits. */
  answerWatch(watch, isTimeUp) {
    if (!this.watches.has(watch)) return true;
    if (this.isRefused(watch.node) || this.silentTo.has(watch.node)) {
      if (isTimeUp) setTimeout(() => this.answerWatch(watch, true), 100);
      return false;
    }
    const news = this.changes.filter(
      (change) => change.stamp > watch.after && (change.set ?? change.drop).startsWith(watch.prefix),
    );
    if (news.length === 0 && !isTimeUp) return false;
    this.watches.delete(watch);
    const ring = this.ring;
    setTimeout(() => watch.resolve({ status: 200, body: { ring, news } }), 1);
    return true;
  }
}
