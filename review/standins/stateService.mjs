/** A stand-in of the state service: keys, conditional transactions, leases and watches, with the published limits. */
import { Buffer } from "node:buffer";
import { setInterval, clearInterval, setTimeout } from "node:timers";
import { serveJson } from "./httpJson.mjs";

const KEPT_CHANGES = 10_000;
const MAX_PAGE_BYTES = 512 * 1024;
const LATENCY_MS = 4;

const OK = (body) => ({ status: 200, body });

/** Requests above a rate get 429; a burst of one second's worth is allowed. */
class Bucket {
  constructor(perSecond) {
    this.perSecond = perSecond;
    this.tokens = perSecond;
    this.at = Date.now();
  }

  take(count) {
    const now = Date.now();
    this.tokens = Math.min(this.perSecond, this.tokens + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

/** Options: `limits` as in the settings (`rps`, `write_rps`, `value_kb`, `txn_ops`), and `record(kind, detail)`. */
export class StateService {
  constructor({ limits, record }) {
    this.limits = limits;
    this.record = record;
    this.entries = new Map();
    this.leases = new Map();
    this.log = [];
    this.watches = new Set();
    this.ring = 1;
    this.nextLease = 1;
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
    this.counts = { commits: 0, conflicts: 0, tooLarge: 0, tooMany: 0 };
    this.largestValue = 0;
  }

  async start() {
    const { server, port } = await serveJson((request) => this.serve(request));
    this.server = server;
    this.address = `127.0.0.1:${port}`;
    this.timer = setInterval(() => this.expire(), 20);
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  async serve(request) {
    if (!this.requests.take(1)) {
      this.counts.tooMany++;
      return { status: 429, body: {} };
    }
    await new Promise((resolve) => setTimeout(resolve, LATENCY_MS));
    const [, resource, ...rest] = request.path.split("/");
    if (resource === "keys" && rest.length > 0) return this.read(rest.join("/"));
    if (resource === "keys") return this.page(request.query);
    if (resource === "commit") return this.commit(request);
    if (resource === "changes") return this.watch(request.query);
    if (resource === "holds") return this.hold(request, rest);
    return { status: 400, body: { error: "no such path" } };
  }

  read(path) {
    const entry = this.entries.get(path);
    return entry ? OK({ path, ...entry }) : { status: 404, body: { ring: this.ring } };
  }

  page(query) {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const limit = Math.min(1000, Number(query.get("limit") ?? 1000));
    const paths = [...this.entries.keys()].filter((path) => path.startsWith(prefix) && path > after).sort();
    const entries = [];
    let bytes = 0;
    for (const path of paths) {
      const item = { path, ...this.entries.get(path) };
      bytes += JSON.stringify(item).length;
      if (entries.length >= limit || bytes > MAX_PAGE_BYTES) break;
      entries.push(item);
    }
    return OK({ entries, more: entries.length < paths.length, ring: this.ring });
  }

  commit({ body }) {
    const guards = body?.guards ?? [];
    const then = body?.then ?? [];
    const problem = this.limitProblem(guards, then);
    if (problem) {
      this.counts.tooLarge++;
      this.record("state refused a transaction", problem);
      return { status: 400, body: { error: problem } };
    }
    if (!this.writes.take(then.length)) {
      this.counts.tooMany++;
      return { status: 429, body: {} };
    }
    const failed = guards
      .filter(({ path, stamp }) => (this.entries.get(path)?.stamp ?? 0) !== stamp)
      .map(({ path }) => path);
    if (failed.length > 0) {
      this.counts.conflicts++;
      return { status: 409, body: { failed, ring: this.ring } };
    }
    if (then.some((change) => change.tenure !== undefined && !this.leases.has(change.tenure)))
      return { status: 400, body: { error: "no such lease" } };
    if (then.length > 0) this.ring++;
    for (const change of then) this.apply(change);
    this.counts.commits++;
    this.wakeWatches();
    return OK({ ring: this.ring });
  }

  limitProblem(guards, then) {
    const { txn_ops: maxChanges, value_kb: valueKb } = this.limits;
    if (then.length > maxChanges) return `${then.length} changes, the limit is ${maxChanges}`;
    if (guards.length > 4 * maxChanges) return `${guards.length} conditions, the limit is ${4 * maxChanges}`;
    for (const change of then) {
      if (change.set === undefined) continue;
      const bytes = Buffer.byteLength(JSON.stringify(change.data));
      if (bytes > valueKb * 1024)
        return `value of ${change.set}: ${bytes} bytes, the limit is ${valueKb * 1024}`;
      this.largestValue = Math.max(this.largestValue, bytes);
    }
    return null;
  }

  apply(change) {
    if (change.drop !== undefined) {
      this.remove(change.drop);
      return;
    }
    const entry = { data: change.data, stamp: this.ring };
    if (change.tenure !== undefined) entry.tenure = change.tenure;
    this.entries.set(change.set, entry);
    this.logChange(change.set, { set: change.set, data: change.data, stamp: this.ring });
  }

  remove(path) {
    if (this.entries.delete(path)) this.logChange(path, { drop: path, stamp: this.ring });
  }

  logChange(path, change) {
    this.log.push({ path, change });
    if (this.log.length > KEPT_CHANGES) this.log.shift();
  }

  watch(query) {
    const after = Number(query.get("after"));
    const oldest = this.log.length >= KEPT_CHANGES ? this.log[0].change.stamp : 0;
    if (after < oldest) return { status: 410, body: {} };
    return new Promise((resolve) => {
      const watch = { prefix: query.get("prefix") ?? "", after, resolve };
      this.watches.add(watch);
      const holdMs = Math.min(60_000, Number(query.get("holdMs") ?? 0));
      setTimeout(() => this.finishWatch(watch), holdMs).unref();
      this.wakeWatches();
    });
  }

  wakeWatches() {
    for (const watch of this.watches) if (this.changesFor(watch).length > 0) this.finishWatch(watch);
  }

  finishWatch(watch) {
    if (!this.watches.delete(watch)) return;
    watch.resolve(OK({ ring: this.ring, news: this.changesFor(watch) }));
  }

  changesFor({ prefix, after }) {
    const changes = [];
    for (let i = this.log.length - 1; i >= 0 && this.log[i].change.stamp > after; i--)
      if (this.log[i].path.startsWith(prefix)) changes.push(this.log[i].change);
    return changes.reverse();
  }

  hold({ method, body }, rest) {
    if (rest.length === 0) {
      const tenure = this.nextLease++;
      this.leases.set(tenure, { lifeMs: body.lifeMs, endsAt: Date.now() + body.lifeMs });
      return OK({ tenure });
    }
    const id = Number(rest[0]);
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: {} };
    if (method === "DELETE") this.endLease(id);
    else lease.endsAt = Date.now() + lease.lifeMs;
    return OK({});
  }

  expire() {
    for (const [id, { endsAt }] of this.leases) if (Date.now() > endsAt) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const attached = [...this.entries].filter(([, { tenure }]) => tenure === id).map(([path]) => path);
    if (attached.length === 0) return;
    this.ring++;
    for (const path of attached) this.remove(path);
    this.wakeWatches();
  }
}
