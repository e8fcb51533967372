/**
 * The simulated network between the fakes. It delays packets, holds them during partitions and delivers them
 * afterwards, and duplicates requests long after the original was served.
 */
import type { HttpCaller, ClientResponse } from "../../src/transport/httpClient.js";
import { NoResponseError } from "../../src/transport/httpClient.js";
import type { SimClock } from "./clock.js";

/** A request as the receiving host sees it. */
export interface SimRequest {
  method: string;
  path: string;
  body: unknown;
}

/** Handles the requests to one address; `from` is the sender's address. */
export type RequestHandler = (
  request: SimRequest,
  respond: (reply: ClientResponse) => void,
  from: string,
) => void;

/** A predicate that selects hosts by their address. */
export type HostFilter = (host: string) => boolean;

interface Partition {
  senders: HostFilter;
  receivers: HostFilter;
  untilMs: number;
  /** Whether only packets from senders to receivers are held; otherwise both directions are. */
  isOneWay: boolean;
}

/** Minimum latency of a packet. */
const MIN_DELAY_MS = 1;
/** Maximum latency above the minimum when `extraDelayMs` is 0. */
const DELAY_SPREAD_MS = 4;
/** Packets held by a partition arrive within this time after it ends. */
const RELEASE_SPREAD_MS = 5;
/** Minimum delay of a duplicate after its original. */
const MIN_DUPLICATE_DELAY_MS = 500;

/** A network whose hosts are identified by their addresses. */
export class SimNet {
  /** Share of POST requests that are delivered twice. */
  duplicateShare = 0;
  /** Maximum delay of a duplicate after its original. */
  maxDuplicateDelayMs = 20_500;
  /** Upper bound of the additional random latency of each packet; 0 for none. */
  maxExtraDelayMs = 0;
  private readonly handlers = new Map<string, RequestHandler>();
  private partitions: Partition[] = [];

  constructor(
    private readonly clock: SimClock,
    private readonly random: () => number,
  ) {}

  /** Registers the handler for an address, replacing any earlier one. */
  listen(address: string, handler: RequestHandler): void {
    this.handlers.set(address, handler);
  }

  /** Removes the handler of an address; connections to it are refused from now on. */
  close(address: string): void {
    this.handlers.delete(address);
  }

  /** Holds packets between the two groups for `durationMs`, in both directions unless `isOneWay` is set. */
  partition(senders: HostFilter, receivers: HostFilter, durationMs: number, isOneWay = false): void {
    this.partitions.push({ senders, receivers, untilMs: this.clock.nowMs() + durationMs, isOneWay });
  }

  /**
   * Runs `deliver` when a packet that is sent now arrives, which is after the end of any partition between the hosts.
   */
  transmit(from: string, to: string, deliver: () => void): void {
    const nowMs = this.clock.nowMs();
    this.partitions = this.partitions.filter(({ untilMs }) => untilMs > nowMs);
    let arrivalMs = nowMs + MIN_DELAY_MS + this.random() * (DELAY_SPREAD_MS + this.maxExtraDelayMs);
    for (const partition of this.partitions) {
      if (!blocks(partition, from, to)) continue;
      arrivalMs = Math.max(arrivalMs, partition.untilMs + this.random() * RELEASE_SPREAD_MS);
    }
    this.clock.after(arrivalMs - nowMs, deliver);
  }

  /**
   * Creates a client at `from`. Once `isAlive` returns false, responses are discarded, but sent requests still arrive.
   */
  caller(from: string, isAlive: () => boolean): HttpCaller {
    return {
      call: (address, method, path, body, timeoutMs) =>
        new Promise<ClientResponse>((resolve, reject) => {
          const timer = this.clock.after(timeoutMs, () => {
            if (isAlive()) reject(new NoResponseError("timeout", false));
          });
          const copy = body === undefined ? undefined : (JSON.parse(JSON.stringify(body)) as unknown);
          const request: SimRequest = { method, path, body: copy };
          const onReply = (reply: ClientResponse): void => {
            if (!isAlive()) return;
            timer.cancel();
            resolve(reply);
          };
          const onRefused = (): void => {
            if (!isAlive()) return;
            timer.cancel();
            reject(new NoResponseError("refused", true));
          };
          this.transmit(from, address, () => this.deliverRequest(from, address, request, onReply, onRefused));
          if (method === "POST" && this.random() < this.duplicateShare) {
            this.duplicateLater(from, address, request);
          }
        }),
    };
  }

  /** Delivers a second copy of the request later; the response to it is transmitted and then discarded. */
  private duplicateLater(from: string, address: string, request: SimRequest): void {
    const spreadMs = this.maxDuplicateDelayMs - MIN_DUPLICATE_DELAY_MS;
    const ignore = (): void => undefined;
    this.clock.after(MIN_DUPLICATE_DELAY_MS + this.random() * spreadMs, () =>
      this.deliverRequest(from, address, request, ignore, ignore),
    );
  }

  private deliverRequest(
    from: string,
    address: string,
    request: SimRequest,
    onReply: (reply: ClientResponse) => void,
    onRefused: () => void,
  ): void {
    const handler = this.handlers.get(address);
    if (!handler) {
      onRefused();
      return;
    }
    const respond = ({ status, body }: ClientResponse): void => {
      const text = JSON.stringify(body ?? null);
      this.transmit(address, from, () => onReply({ status, body: JSON.parse(text) as unknown }));
    };
    handler(request, respond, from);
  }
}

function blocks({ senders, receivers, isOneWay }: Partition, from: string, to: string): boolean {
  return (senders(from) && receivers(to)) || (!isOneWay && senders(to) && receivers(from));
}
