/** Client of the cloud's API, with a rate limit, bounded backoff and idempotent orders. */
import { isNoCapacity } from "../../protocol/cloud.js";
import type { Clock, Timer } from "../../transport/clock.js";
import type { HttpCaller, ClientResponse } from "../../transport/httpClient.js";
import { log } from "../../transport/log.js";
import { Actor } from "../../transport/actor.js";
import { TokenBucket } from "../../transport/tokenBucket.js";
import { CloudCallQueue } from "./cloudCallQueue.js";
import { buildRequest, interpretResponse, type CloudCall } from "./cloudCalls.js";
import type { CloudEvent } from "./cloudEvents.js";
import type { ScaleOutOrder } from "./machineOrders.js";

const RESPONSE_TIMEOUT_MS = 3000;
const MAX_CALLS_IN_FLIGHT = 3;
/** Average call rate as a share of the limit that the cloud enforces, so that the client stays below it. */
const RATE_LIMIT_SHARE = 0.85;
/** Burst size: the calls that the cloud's limit allows in this time, but at least one. */
const BURST_S = 1.2;
/** Backoff after the first failed call; it doubles with each further failure, up to the maximum. */
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 4000;
/** The shortest timer, so that tokens that become available shortly after one another are used together. */
const MIN_WAIT_MS = 5;

const OK = 200;
const BAD_REQUEST = 400;
const SERVICE_UNAVAILABLE = 503;

/** A request of the leader to the cloud; its result is reported as a `CloudEvent`. */
export type CloudRequest =
  | { kind: "create"; order: ScaleOutOrder }
  | { kind: "delete"; names: string[] }
  | { kind: "list" }
  | { kind: "types" };

/** Accepts requests to the cloud; they are sent asynchronously. */
export interface CloudRequests {
  post(request: CloudRequest): void;
}

type Message =
  | CloudRequest
  | { kind: "stop" }
  | { kind: "timer expired" }
  /** A null `response` means that none was received: the cloud may or may not have executed the call. */
  | { kind: "response"; call: CloudCall; response: ClientResponse | null; sentMs: number };

/**
 * The only component that calls the cloud. It keeps the rate limit, limits the calls in flight and backs off after
 * failures. An order whose outcome is unknown is retried under the same idempotency key until the cloud reports the
 * outcome, so that no machine is created twice.
 */
export class CloudClient extends Actor<Message> implements CloudRequests {
  private readonly bucket: TokenBucket;
  private readonly pendingCalls = new CloudCallQueue();
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
    /** Called while this actor handles a message, so it may do no more than post the event to the leader's mailbox. */
    private readonly onEvent: (event: CloudEvent) => void,
  ) {
    super("cloud");
    const burst = Math.max(1, callsPerSecond * BURST_S);
    this.bucket = new TokenBucket(callsPerSecond * RATE_LIMIT_SHARE, burst, clock.nowMs());
  }

  protected override handle(message: Message): void {
    switch (message.kind) {
      case "create":
        this.pendingCalls.addOrder(message.order);
        break;
      case "delete":
        this.pendingCalls.addDeletions(message.names);
        break;
      case "list":
        this.pendingCalls.requestList();
        break;
      case "types":
        this.pendingCalls.requestTypes();
        break;
      case "stop":
        this.isStopped = true;
        this.waitTimer?.cancel();
        break;
      case "timer expired":
        this.waitTimer = null;
        break;
      case "response":
        this.inFlight--;
        this.handleResponse(message.call, message.response, message.sentMs);
        break;
    }
    this.sendQueuedCalls();
  }

  /** Sends queued calls as far as the rate limit, the backoff and the limit on calls in flight allow. */
  private sendQueuedCalls(): void {
    while (!this.isStopped && this.inFlight < MAX_CALLS_IN_FLIGHT) {
      const nowMs = this.clock.nowMs();
      const waitMs = Math.max(this.backoffUntilMs - nowMs, this.bucket.waitMs(1, nowMs));
      if (waitMs > 0) {
        if (!this.pendingCalls.isEmpty) this.scheduleSend(waitMs);
        return;
      }
      const call = this.pendingCalls.take();
      if (!call) return;
      this.bucket.tryTake(1, nowMs);
      this.send(call, nowMs);
    }
  }

  private scheduleSend(waitMs: number): void {
    if (this.waitTimer) return;
    this.waitTimer = this.clock.after(Math.max(MIN_WAIT_MS, waitMs), () =>
      this.post({ kind: "timer expired" }),
    );
  }

  private send(call: CloudCall, sentMs: number): void {
    this.inFlight++;
    const { method, path, body } = buildRequest(call);
    this.http.call(this.address, method, path, body, RESPONSE_TIMEOUT_MS).then(
      (response) => this.post({ kind: "response", call, response, sentMs }),
      () => this.post({ kind: "response", call, response: null, sentMs }),
    );
  }

  private handleResponse(call: CloudCall, response: ClientResponse | null, sentMs: number): void {
    if (call.kind === "create" && response?.status === SERVICE_UNAVAILABLE && isNoCapacity(response.body)) {
      this.backoffMs = 0;
      this.onEvent({ kind: "no capacity", order: call.order });
    } else if (response?.status === OK) {
      this.backoffMs = 0;
      this.handleSuccess(call, response.body);
    } else if (response?.status === BAD_REQUEST) this.handleRejection(call);
    else this.requeueWithBackoff(call, response, sentMs);
  }

  private handleSuccess(call: CloudCall, body: unknown): void {
    const result = interpretResponse(call, body);
    switch (result.kind) {
      case "event":
        this.onEvent(result.event);
        break;
      case "next page":
        this.pendingCalls.addNextPage(result.call);
        break;
      case "unreadable":
        break;
    }
  }

  /** Drops a call that the cloud rejected as malformed, since a retry would fail too; an order is reported as refused. */
  private handleRejection(call: CloudCall): void {
    log.error(`cloud: ${call.kind} call rejected as malformed: ${JSON.stringify(call)}`);
    if (call.kind === "create") this.onEvent({ kind: "no capacity", order: call.order });
  }

  /** Backs off and requeues a call that got no response, or one with an error that may be temporary. */
  private requeueWithBackoff(call: CloudCall, response: ClientResponse | null, sentMs: number): void {
    this.backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(INITIAL_BACKOFF_MS, this.backoffMs * 2));
    this.backoffUntilMs = this.clock.nowMs() + this.backoffMs;
    log.debug(
      () => `cloud: ${call.kind} call failed (${response?.status ?? "no response"}), sent at ${sentMs} ms`,
    );
    this.pendingCalls.requeue(call);
  }
}
