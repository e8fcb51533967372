/**
 * The simulated network between the fakes: delays, partitions that hold packets and deliver them late, and duplicates
 * of requests that arrive long after the original was served.
 */
import type { HttpCaller, ClientResponse } from "../../src/transport/httpClient.js";
import { NoResponseError } from "../../src/transport/httpClient.js";
import type { SimClock } from "./clock.js";

/** A request as a host receives it. */
export interface SimRequest {
  method: string;
  path: string;
  body: unknown;
}

/** Serves requests at an address; `from` is the sender's address. */
export type SimHost = (request: SimRequest, respond: (reply: ClientResponse) => void, from: string) => void;

/** Selects hosts by their address. */
export type HostFilter = (host: string) => boolean;

interface Partition {
  senders: HostFilter;
  receivers: HostFilter;
  untilMs: number;
  /** Only packets from senders to receivers are held, not those the other way. */
  isOneWay: boolean;
}

/** Shortest time that a packet travels. */
const MIN_DELAY_MS = 1;
/** What a packet takes longer than that at most, on an undisturbed network. */
const DELAY_SPREAD_MS = 4;
/** Packets that a partition held arrive within this time of its end. */
const RELEASE_SPREAD_MS = 5;
/** A duplicate comes no sooner than this after its original. */
const MIN_DUPLICATE_DELAY_MS = 500;

/** One network; all hosts are named by their addresses. */
export class SimNet {
  /** Share of POST requests that arrive a second time. */
  duplicateShare = 0;
  /** Latest time of a duplicate after its original. */
  duplicateWithinMs = 20_500;
  /** Each packet takes up to so much longer. */
  extraDelayMs = 0;
  private readonly hosts = new Map<string, SimHost>();
  private partitions: Partition[] = [];

  constructor(
    private readonly clock: SimClock,
    private readonly random: () => number,
  ) {}

  /** Serves that address; replaces what served it before. */
  listen(address: string, host: SimHost): void {
    this.hosts.set(address, host);
  }

  /** Connections to that address are refused from now on. */
  close(address: string): void {
    this.hosts.delete(address);
  }

  /** Holds packets between the two groups for that time, in both directions unless `isOneWay`. */
  partition(senders: HostFilter, receivers: HostFilter, forMs: number, isOneWay = false): void {
    this.partitions.push({ senders, receivers, untilMs: this.clock.nowMs() + forMs, isOneWay });
  }

  /** Runs `deliver` when a packet sent now arrives: after the partition, when there is one. */
  transmit(from: string, to: string, deliver: () => void): void {
    const nowMs = this.clock.nowMs();
    this.partitions = this.partitions.filter(({ untilMs }) => untilMs > nowMs);
    let arrivalMs = nowMs + MIN_DELAY_MS + this.random() * (DELAY_SPREAD_MS + this.extraDelayMs);
    for (const partition of this.partitions) {
      if (!holds(partition, from, to)) continue;
      arrivalMs = Math.max(arrivalMs, partition.untilMs + this.random() * RELEASE_SPREAD_MS);
    }
    this.clock.after(arrivalMs - nowMs, deliver);
  }

  /** A client at `from`; once `isAlive` says no, responses reach nobody, but requests still travel. */
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
          this.transmit(from, address, () => this.arrive(from, address, request, onReply, onRefused));
          if (method === "POST" && this.random() < this.duplicateShare) {
            this.duplicateLater(from, address, request);
          }
        }),
    };
  }

  /** Nobody waits for the response to a duplicate, but it travels. */
  private duplicateLater(from: string, address: string, request: SimRequest): void {
    const spreadMs = this.duplicateWithinMs - MIN_DUPLICATE_DELAY_MS;
    const ignore = (): void => undefined;
    this.clock.after(MIN_DUPLICATE_DELAY_MS + this.random() * spreadMs, () =>
      this.arrive(from, address, request, ignore, ignore),
    );
  }

  private arrive(
    from: string,
    address: string,
    request: SimRequest,
    onReply: (reply: ClientResponse) => void,
    onRefused: () => void,
  ): void {
    const host = this.hosts.get(address);
    if (!host) {
      onRefused();
      return;
    }
    const respond = ({ status, body }: ClientResponse): void => {
      const text = JSON.stringify(body ?? null);
      this.transmit(address, from, () => onReply({ status, body: JSON.parse(text) as unknown }));
    };
    host(request, respond, from);
  }
}

function holds({ senders, receivers, isOneWay }: Partition, from: string, to: string): boolean {
  return (senders(from) && receivers(to)) || (!isOneWay && senders(to) && receivers(from));
}
