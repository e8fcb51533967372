/**
 * A fake of the consensus-backed state store that implements its published protocol: versioned entries, conditional
 * transactions, leases and watches. It simulates outages, rejected hosts, slow responses and transactions that are
 * applied late. Only this module translates the store's names on the wire.
 */
import type { ClientResponse } from "../../src/transport/httpClient.js";
import type { SimClock } from "./clock.js";
import type { SimNet, SimRequest } from "./net.js";

/** A stored entry. */
interface StoredEntry {
  value: unknown;
  /** Revision of the store that last wrote the entry. */
  version: number;
  /** Lease whose end removes the entry; absent if the entry is not attached to a lease. */
  leaseId?: number;
}

interface Lease {
  ttlMs: number;
  expiresAtMs: number;
}

/** A change in the store's log, from which watches are answered. */
interface LoggedChange {
  revision: number;
  key: string;
  value?: unknown;
  isRemoval: boolean;
}

/** A long-poll request that waits for changes after a revision. */
interface Watch {
  prefix: string;
  afterRevision: number;
  respond: Respond;
  isAnswered: boolean;
}

/** A transaction's condition on the wire: the entry has the version `stamp`, or does not exist if that is 0. */
interface WireCondition {
  path: string;
  stamp: number;
}

/** A transaction's change on the wire. */
type WireChange = { set: string; data: unknown; tenure?: number } | { drop: string };

type Respond = (reply: ClientResponse) => void;

/** A fault that ends at a given time; the meaning of `amount`, a share or a duration, depends on the fault. */
interface TemporaryFault {
  amount: number;
  untilMs: number;
}

/** Maximum number of changes in a transaction. */
const MAX_CHANGES = 20;
/** Maximum number of conditions in a transaction. */
const MAX_CONDITIONS = 4 * MAX_CHANGES;
/** Maximum size of a value, encoded as JSON. */
const MAX_VALUE_BYTES = 8 * 1024;
/** Maximum number of entries in a page. */
const MAX_PAGE_ENTRIES = 1000;
/** Interval between checks for expired leases. */
const EXPIRY_CHECK_INTERVAL_MS = 50;
/** Minimum delay after which a delayed transaction is applied. */
const MIN_TRANSACTION_DELAY_MS = 2000;
/** Maximum random delay of a delayed transaction beyond the minimum. */
const TRANSACTION_DELAY_SPREAD_MS = 10_000;

/** The state store, which serves requests at its address. */
export class SimStateStore {
  readonly entries = new Map<string, StoredEntry>();
  private readonly leases = new Map<number, Lease>();
  private readonly log: LoggedChange[] = [];
  private watches: Watch[] = [];
  private revision = 1;
  private nextLease = 1;
  private outageUntilMs = -Infinity;
  private readonly refusedUntilMs = new Map<string, number>();
  private delayedTransactions: TemporaryFault = { amount: 0, untilMs: -Infinity };
  private slowResponses: TemporaryFault = { amount: 0, untilMs: -Infinity };

  constructor(
    private readonly clock: SimClock,
    net: SimNet,
    private readonly random: () => number,
    address: string,
  ) {
    net.listen(address, (request, respond, from) =>
      this.serve(request, (reply) => this.respondInTime(reply, respond), from),
    );
    this.expirePeriodically();
  }

  /**
   * Answers every request with an error for `durationMs`. The end of the outage renews all leases for their full
   * duration.
   */
  startOutage(durationMs: number): void {
    this.outageUntilMs = this.clock.nowMs() + durationMs;
    this.clock.after(durationMs, () => {
      for (const lease of this.leases.values()) lease.expiresAtMs = this.clock.nowMs() + lease.ttlMs;
    });
  }

  /** Delays every response by a random time of up to `maxExtraDelayMs`, for `durationMs`. */
  delayResponses(maxExtraDelayMs: number, durationMs: number): void {
    this.slowResponses = { amount: maxExtraDelayMs, untilMs: this.clock.nowMs() + durationMs };
  }

  /** For `durationMs`, leaves the given share of transactions unanswered and applies them 2 to 12 s later. */
  delayTransactions(share: number, durationMs: number): void {
    this.delayedTransactions = { amount: share, untilMs: this.clock.nowMs() + durationMs };
  }

  /** Answers one host with errors for `durationMs`; other hosts are not affected. */
  refuseHost(host: string, durationMs: number): void {
    this.refusedUntilMs.set(host, this.clock.nowMs() + durationMs);
  }

  private respondInTime(reply: ClientResponse, respond: Respond): void {
    const { amount, untilMs } = this.slowResponses;
    const waitMs = this.clock.nowMs() < untilMs ? this.random() * amount : 0;
    if (waitMs > 0) this.clock.after(waitMs, () => respond(reply));
    else respond(reply);
  }

  private isUnavailable(): boolean {
    return this.clock.nowMs() < this.outageUntilMs;
  }

  private expirePeriodically(): void {
    this.expireLeases();
    this.clock.after(EXPIRY_CHECK_INTERVAL_MS, () => this.expirePeriodically());
  }

  private expireLeases(): void {
    if (this.isUnavailable()) return;
    const nowMs = this.clock.nowMs();
    for (const [id, lease] of this.leases) if (lease.expiresAtMs <= nowMs) this.endLease(id);
  }

  private endLease(id: number): void {
    if (!this.leases.delete(id)) return;
    const attached = [...this.entries].filter(([, { leaseId }]) => leaseId === id).map(([key]) => key);
    if (attached.length === 0) return;
    this.revision++;
    for (const key of attached) this.remove(key);
    this.notifyWatches();
  }

  private notifyWatches(): void {
    for (const watch of this.watches) this.answerWatch(watch);
    this.watches = this.watches.filter((watch) => !watch.isAnswered);
  }

  private answerWatch(watch: Watch): void {
    const changes = this.log.filter(
      ({ revision, key }) => revision > watch.afterRevision && key.startsWith(watch.prefix),
    );
    if (watch.isAnswered || changes.length === 0 || this.isUnavailable()) return;
    watch.isAnswered = true;
    watch.respond({ status: 200, body: { ring: this.revision, news: changes.map(encodeLoggedChange) } });
  }

  private serve(request: SimRequest, respond: Respond, from: string): void {
    const refusedUntilMs = this.refusedUntilMs.get(from) ?? -Infinity;
    if (this.isUnavailable() || refusedUntilMs > this.clock.nowMs()) {
      respond({ status: 503, body: {} });
      return;
    }
    this.expireLeases();
    const url = new URL(request.path, "http://state");
    const [resource, ...rest] = url.pathname.split("/").slice(1);
    const body = (request.body ?? {}) as Record<string, unknown>;
    if (resource === "keys" && rest.length > 0) respond(this.read(rest.join("/")));
    else if (resource === "keys") respond(this.listPage(url.searchParams));
    else if (resource === "commit") this.commitOrDelay(body, respond);
    else if (resource === "changes") this.watch(url.searchParams, respond);
    else if (resource === "holds" && rest.length === 0) respond(this.openLease(Number(body.lifeMs)));
    else if (resource === "holds") respond(this.renewOrEndLease(request.method, Number(rest[0])));
    else respond({ status: 400, body: {} });
  }

  private read(key: string): ClientResponse {
    const entry = this.entries.get(key);
    if (!entry) return { status: 404, body: { ring: this.revision } };
    return { status: 200, body: encodeEntry(key, entry) };
  }

  private listPage(query: URLSearchParams): ClientResponse {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const limit = Math.min(MAX_PAGE_ENTRIES, Number(query.get("limit") ?? MAX_PAGE_ENTRIES));
    const keys = [...this.entries.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const entries = keys.slice(0, limit).map((key) => encodeEntry(key, this.entries.get(key)!));
    return { status: 200, body: { entries, more: keys.length > limit, ring: this.revision } };
  }

  private watch(query: URLSearchParams, respond: Respond): void {
    const watch: Watch = {
      prefix: query.get("prefix") ?? "",
      afterRevision: Number(query.get("after")),
      respond,
      isAnswered: false,
    };
    this.watches.push(watch);
    this.clock.after(Number(query.get("holdMs") ?? 0), () => {
      if (watch.isAnswered) return;
      watch.isAnswered = true;
      respond({ status: 200, body: { ring: this.revision, news: [] } });
    });
    this.notifyWatches();
  }

  private openLease(ttlMs: number): ClientResponse {
    const id = this.nextLease++;
    this.leases.set(id, { ttlMs, expiresAtMs: this.clock.nowMs() + ttlMs });
    return { status: 200, body: { tenure: id } };
  }

  private renewOrEndLease(method: string, id: number): ClientResponse {
    const lease = this.leases.get(id);
    if (method === "DELETE") this.endLease(id);
    else if (lease) lease.expiresAtMs = this.clock.nowMs() + lease.ttlMs;
    return lease ? { status: 200, body: {} } : { status: 404, body: {} };
  }

  private commitOrDelay(body: Record<string, unknown>, respond: Respond): void {
    const { amount: share, untilMs } = this.delayedTransactions;
    const isLate = this.clock.nowMs() < untilMs && this.random() < share;
    if (!isLate) {
      respond(this.commit(body));
      return;
    }
    const delayMs = MIN_TRANSACTION_DELAY_MS + this.random() * TRANSACTION_DELAY_SPREAD_MS;
    this.clock.after(delayMs, () => this.commit(body));
  }

  private commit(body: Record<string, unknown>): ClientResponse {
    const conditions = body.guards as WireCondition[];
    const changes = (body.then ?? []) as WireChange[];
    if (isTooLarge(conditions, changes)) return { status: 400, body: { error: "too much" } };
    const failed = conditions
      .filter(({ path, stamp }) => (this.entries.get(path)?.version ?? 0) !== stamp)
      .map(({ path }) => path);
    if (failed.length > 0) return { status: 409, body: { failed, ring: this.revision } };
    if (changes.some((change) => this.refersToEndedLease(change))) {
      return { status: 400, body: { error: "no such lease" } };
    }
    this.revision++;
    for (const change of changes) this.apply(change);
    this.notifyWatches();
    return { status: 200, body: { ring: this.revision } };
  }

  private refersToEndedLease(change: WireChange): boolean {
    return "set" in change && change.tenure !== undefined && !this.leases.has(change.tenure);
  }

  private apply(change: WireChange): void {
    if ("drop" in change) {
      this.remove(change.drop);
      return;
    }
    const { set: key, data: value, tenure: leaseId } = change;
    this.entries.set(key, {
      value,
      version: this.revision,
      ...(leaseId === undefined ? {} : { leaseId }),
    });
    this.log.push({ revision: this.revision, key, value, isRemoval: false });
  }

  private remove(key: string): void {
    this.entries.delete(key);
    this.log.push({ revision: this.revision, key, isRemoval: true });
  }
}

function isTooLarge(conditions: WireCondition[], changes: WireChange[]): boolean {
  if (changes.length > MAX_CHANGES || conditions.length > MAX_CONDITIONS) return true;
  return changes.some((change) => "set" in change && JSON.stringify(change.data).length > MAX_VALUE_BYTES);
}

function encodeEntry(path: string, { value, version, leaseId }: StoredEntry): Record<string, unknown> {
  return { path, data: value, stamp: version, tenure: leaseId };
}

function encodeLoggedChange({ revision, key, value, isRemoval }: LoggedChange): Record<string, unknown> {
  return isRemoval ? { drop: key, stamp: revision } : { set: key, data: value, stamp: revision };
}
