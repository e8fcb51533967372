import type { ListedMachine, MachineType } from "../../protocol/model.js";
import {
  cloudPaths,
  decodeMachineList,
  decodeCreatedMachines,
  decodeMachineTypes,
  encodeDeleteMachines,
  encodeCreateMachines,
  isNoCapacity,
} from "../../protocol/cloud.js";
import { TokenBucket } from "../../transport/tokenBucket.js";
import type { Clock } from "../../transport/clock.js";
import type { HttpCaller, ClientResponse } from "../../transport/httpClient.js";
import { Actor } from "../../transport/actor.js";
import { log } from "../../transport/log.js";

export interface ScaleOutOrder {
  /** Never used again by anybody: made of the term and a counter. */
  request: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

export type CloudEvent =
  | { kind: "types"; types: MachineType[]; isStored?: boolean }
  | { kind: "listed"; machines: ListedMachine[]; askedMs: number }
  | { kind: "rented"; order: ScaleOutOrder; names: string[] }
  | { kind: "no capacity"; order: ScaleOutOrder }
  | { kind: "removed"; names: string[] };

type Message =
  | { kind: "rent"; order: ScaleOutOrder }
  | { kind: "remove"; names: string[] }
  | { kind: "list" }
  | { kind: "types" }
  | { kind: "stop" }
  | { kind: "pump" }
  | { kind: "reply"; work: Work; reply: ClientResponse | null; askedMs: number };

type Work =
  | { kind: "rent"; order: ScaleOutOrder }
  | { kind: "remove"; names: string[] }
  | { kind: "list"; after: string; found: ListedMachine[]; askedMs: number }
  | { kind: "types" };

const MAX_NAMES = 100;
const PAGE = 500;
const TIMEOUT_MS = 3000;
const PARALLEL = 3;

/**
 * The one place that talks to the cloud: within its rate, with bounded backoff. A rental with no clear answer
 * is repeated under its own name until the answer is clear, so nothing is rented twice.
 */
export class CloudClient extends Actor<Message> {
  private readonly bucket: TokenBucket;
  private readonly rents: ScaleOutOrder[] = [];
  private readonly removals = new Set<string>();
  private wantList = false;
  private wantTypes = false;
  private listing: Work | null = null;
  private inFlight = 0;
  private backoffMs = 0;
  private notBeforeMs = 0;
  private pumpSet = false;
  private stopped = false;

  constructor(
    private readonly http: HttpCaller,
    private readonly clock: Clock,
    private readonly address: string,
    rps: number,
    private readonly onEvent: (news: CloudEvent) => void,
  ) {
    super("cloud");
    this.bucket = new TokenBucket(rps * 0.85, Math.max(1, rps * 1.2), clock.nowMs());
  }

  protected override failed(message: Message, error: unknown): void {
    log.error(`cloud: ${message.kind}: ${String(error)}`);
  }

  protected override handle(message: Message): void {
    switch (message.kind) {
      case "rent":
        this.rents.push(message.order);
        break;
      case "remove":
        for (const name of message.names) this.removals.add(name);
        break;
      case "list":
        this.wantList = true;
        break;
      case "types":
        this.wantTypes = true;
        break;
      case "stop":
        this.stopped = true;
        break;
      case "pump":
        this.pumpSet = false;
        break;
      case "reply":
        this.inFlight--;
        this.answered(message.work, message.reply, message.askedMs);
        break;
    }
    this.pump();
  }

  private later(delayMs: number): void {
    if (this.pumpSet || this.stopped) return;
    this.pumpSet = true;
    this.clock.after(Math.max(5, delayMs), () => this.tell({ kind: "pump" }));
  }

  private pump(): void {
    while (!this.stopped && this.inFlight < PARALLEL) {
      const now = this.clock.nowMs();
      const blocked = Math.max(this.notBeforeMs - now, this.bucket.waitMs(1, now));
      if (blocked > 0) {
        if (
          this.rents.length > 0 ||
          this.removals.size > 0 ||
          this.wantList ||
          this.wantTypes ||
          this.listing
        ) {
          this.later(blocked);
        }
        return;
      }
      const work = this.next();
      if (!work) return;
      this.bucket.tryTake(1, now);
      this.inFlight++;
      this.send(work, now);
    }
  }

  private next(): Work | null {
    if (this.wantTypes) {
      this.wantTypes = false;
      return { kind: "types" };
    }
    if (this.removals.size > 0) {
      const names = [...this.removals].slice(0, MAX_NAMES);
      for (const name of names) this.removals.delete(name);
      return { kind: "remove", names };
    }
    const order = this.rents.shift();
    if (order) return { kind: "rent", order };
    if (this.listing) {
      const work = this.listing;
      this.listing = null;
      return work;
    }
    if (this.wantList) {
      this.wantList = false;
      return { kind: "list", after: "", found: [], askedMs: this.clock.nowMs() };
    }
    return null;
  }

  private send(work: Work, askedMs: number): void {
    const [method, path, body] = this.request(work);
    this.http.call(this.address, method, path, body, TIMEOUT_MS).then(
      (reply) => this.tell({ kind: "reply", work, reply, askedMs }),
      () => this.tell({ kind: "reply", work, reply: null, askedMs }),
    );
  }

  private request(work: Work): [string, string, unknown] {
    switch (work.kind) {
      case "rent": {
        const order = work.order;
        return [
          "POST",
          cloudPaths.createMachines,
          encodeCreateMachines(order.request, order.type, order.zone, order.spot, order.count),
        ];
      }
      case "remove":
        return ["POST", cloudPaths.deleteMachines, encodeDeleteMachines(work.names)];
      case "list":
        return ["GET", cloudPaths.listMachines(work.after, PAGE), undefined];
      case "types":
        return ["GET", cloudPaths.machineTypes, undefined];
    }
  }

  private answered(work: Work, reply: ClientResponse | null, askedMs: number): void {
    if (work.kind === "rent" && reply?.status === 503 && isNoCapacity(reply.body)) {
      this.backoffMs = 0;
      this.onEvent({ kind: "no capacity", order: work.order });
      return;
    }
    if (reply?.status === 200) {
      this.backoffMs = 0;
      this.succeeded(work, reply.body);
      return;
    }
    if (reply?.status === 400) {
      log.error(`cloud: ${work.kind} was malformed: ${JSON.stringify(work)}`);
      if (work.kind === "rent") this.onEvent({ kind: "no capacity", order: work.order });
      return;
    }
    // Refused for now, or no answer: once more after a pause.
    this.backoffMs = Math.min(4000, Math.max(250, this.backoffMs * 2));
    this.notBeforeMs = this.clock.nowMs() + this.backoffMs;
    log.debug(() => `cloud: ${work.kind} failed (${reply?.status ?? "no answer"}), asked at ${askedMs}`);
    if (work.kind === "rent") this.rents.unshift(work.order);
    else if (work.kind === "remove") for (const name of work.names) this.removals.add(name);
    else if (work.kind === "list") this.listing = null;
    else this.wantTypes = true;
  }

  private succeeded(work: Work, body: unknown): void {
    switch (work.kind) {
      case "rent":
        this.onEvent({ kind: "rented", order: work.order, names: decodeCreatedMachines(body) ?? [] });
        break;
      case "remove":
        this.onEvent({ kind: "removed", names: work.names });
        break;
      case "types": {
        const types = decodeMachineTypes(body);
        if (types) this.onEvent({ kind: "types", types });
        break;
      }
      case "list": {
        const page = decodeMachineList(body);
        if (!page) break;
        const found = [...work.found, ...page.machines];
        const last = page.machines.at(-1);
        if (page.more && last) this.listing = { ...work, after: last.name, found };
        else this.onEvent({ kind: "listed", machines: found, askedMs: work.askedMs });
        break;
      }
    }
  }
}
