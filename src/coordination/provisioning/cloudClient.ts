/** The cloud's client: within its rate, with bounded backoff, never ordering anything twice. */
import { isNoCapacity } from "../../protocol/cloud.js";
import type { Clock, Timer } from "../../transport/clock.js";
import type { HttpCaller, ClientResponse } from "../../transport/httpClient.js";
import { log } from "../../transport/log.js";
import { Actor } from "../../transport/actor.js";
import { TokenBucket } from "../../transport/tokenBucket.js";
import { CloudCallQueue } from "./cloudCallQueue.js";
import { requestOf, resultOf, type CloudCall } from "./cloudCalls.js";
import type { CloudEvent } from "./cloudEvents.js";
import type { ScaleOutOrder } from "./machineOrders.js";

const RESPONSE_TIMEOUT_MS = 3000;
/** Calls under way at the same time. */
const MAX_IN_FLIGHT = 3;
/** Calls per second on average, as a share of the limit that the cloud enforces: we stay below it. */
const RATE_SHARE = 0.85;
/** Calls at once, in seconds of the cloud's limit; at least one. */
const BURST_S = 1.2;
/** The pause after a failure, doubled with each further one. */
const FIRST_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 4000;
/** No timer is shorter: a token that comes sooner waits for company. */
const MIN_WAIT_MS = 5;

const OK = 200;
const BAD_REQUEST = 400;
const SERVICE_UNAVAILABLE = 503;

/** What the leader asks of the cloud; each has its result in a `CloudEvent`. */
export type CloudRequest =
  | { kind: "create"; order: ScaleOutOrder }
  | { kind: "delete"; names: string[] }
  | { kind: "list" }
  | { kind: "types" };

/** Takes requests to the cloud. */
export interface CloudRequests {
  tell(request: CloudRequest): void;
}

type Message =
  | CloudRequest
  | { kind: "stop" }
  | { kind: "wait over" }
  /** `reply` null: none came, so the call may or may not have been carried out. */
  | { kind: "reply"; call: CloudCall; reply: ClientResponse | null; sentMs: number };

/**
 * The one place that calls the cloud: within its rate limit, with bounded backoff. An order without a clear response is
 * repeated under its own request name until the response is clear, so nothing is created twice.
 */
export class CloudClient extends Actor<Message> implements CloudRequests {
  private readonly bucket: TokenBucket;
  private readonly calls = new CloudCallQueue();
  private inFlight = 0;
  private backoffMs = 0;
  private backoffUntilMs = 0;
  private waitTimer: Timer | null = null;
  private isStopped = false;

  constructor(
    private readonly http: HttpCaller,
    private readonly clock: Clock,
    private readonly address: string,
    /** The cloud's limit of calls per second. */
    callsPerSecond: number,
    /** Called in this actor's turn: it only puts a message into the leader's mailbox. */
    private readonly onEvent: (event: CloudEvent) => void,
  ) {
    super("cloud");
    const burst = Math.max(1, callsPerSecond * BURST_S);
    this.bucket = new TokenBucket(callsPerSecond * RATE_SHARE, burst, clock.nowMs());
  }

  protected override handle(message: Message): void {
    switch (message.kind) {
      case "create":
        this.calls.addOrder(message.order);
        break;
      case "delete":
        this.calls.addDeletions(message.names);
        break;
      case "list":
        this.calls.addList();
        break;
      case "types":
        this.calls.addTypes();
        break;
      case "stop":
        this.isStopped = true;
        this.waitTimer?.cancel();
        break;
      case "wait over":
        this.waitTimer = null;
        break;
      case "reply":
        this.inFlight--;
        this.receive(message.call, message.reply, message.sentMs);
        break;
    }
    this.sendWaiting();
  }

  /** Sends what waits, as far as the rate limit, the backoff and the calls under way allow. */
  private sendWaiting(): void {
    while (!this.isStopped && this.inFlight < MAX_IN_FLIGHT) {
      const nowMs = this.clock.nowMs();
      const waitMs = Math.max(this.backoffUntilMs - nowMs, this.bucket.waitMs(1, nowMs));
      if (waitMs > 0) {
        if (!this.calls.isEmpty) this.sendLater(waitMs);
        return;
      }
      const call = this.calls.take();
      if (!call) return;
      this.bucket.tryTake(1, nowMs);
      this.send(call, nowMs);
    }
  }

  private sendLater(waitMs: number): void {
    if (this.waitTimer) return;
    this.waitTimer = this.clock.after(Math.max(MIN_WAIT_MS, waitMs), () => this.tell({ kind: "wait over" }));
  }

  private send(call: CloudCall, sentMs: number): void {
    this.inFlight++;
    const { method, path, body } = requestOf(call);
    this.http.call(this.address, method, path, body, RESPONSE_TIMEOUT_MS).then(
      (reply) => this.tell({ kind: "reply", call, reply, sentMs }),
      () => this.tell({ kind: "reply", call, reply: null, sentMs }),
    );
  }

  private receive(call: CloudCall, reply: ClientResponse | null, sentMs: number): void {
    if (call.kind === "create" && reply?.status === SERVICE_UNAVAILABLE && isNoCapacity(reply.body)) {
      this.backoffMs = 0;
      this.onEvent({ kind: "no capacity", order: call.order });
    } else if (reply?.status === OK) {
      this.backoffMs = 0;
      this.succeeded(call, reply.body);
    } else if (reply?.status === BAD_REQUEST) this.rejected(call);
    else this.retryLater(call, reply, sentMs);
  }

  private succeeded(call: CloudCall, body: unknown): void {
    const result = resultOf(call, body);
    switch (result.kind) {
      case "event":
        this.onEvent(result.event);
        break;
      case "next page":
        this.calls.addNextPage(result.call);
        break;
      case "unreadable":
        break;
    }
  }

  /** The cloud calls it malformed: repeating it is useless. */
  private rejected(call: CloudCall): void {
    log.error(`cloud: ${call.kind} was malformed: ${JSON.stringify(call)}`);
    if (call.kind === "create") this.onEvent({ kind: "no capacity", order: call.order });
  }

  /** Refused for now, or no response: once more after a pause. */
  private retryLater(call: CloudCall, reply: ClientResponse | null, sentMs: number): void {
    this.backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(FIRST_BACKOFF_MS, this.backoffMs * 2));
    this.backoffUntilMs = this.clock.nowMs() + this.backoffMs;
    log.debug(() => `cloud: ${call.kind} failed (${reply?.status ?? "no response"}), sent at ${sentMs}`);
    this.calls.putBack(call);
  }
}
