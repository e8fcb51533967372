import type { HttpCaller, ClientResponse } from "../../src/transport/httpClient.js";
import { NoResponseError } from "../../src/transport/httpClient.js";
import type { SimClock } from "./clock.js";

export interface SimRequest {
  method: string;
  path: string;
  body: unknown;
}
export type SimHost = (request: SimRequest, answer: (reply: ClientResponse) => void, from: string) => void;

interface Cut {
  a: (host: string) => boolean;
  b: (host: string) => boolean;
  untilMs: number;
  /** Only what goes from a to b is held. */
  oneWay: boolean;
}

/** The network between the fakes: delays, cuts that hold packets and deliver them late, repeated requests. */
export class SimNet {
  private readonly hosts = new Map<string, SimHost>();
  private cuts: Cut[] = [];
  /** Share of requests that come a second time, so much later at the most, long after they were answered. */
  repeatShare = 0;
  repeatWithinMs = 20_500;
  /** Each packet takes up to so much longer. */
  slowMs = 0;

  constructor(
    private readonly clock: SimClock,
    private readonly random: () => number,
  ) {}

  listen(address: string, host: SimHost): void {
    this.hosts.set(address, host);
  }

  gone(address: string): void {
    this.hosts.delete(address);
  }

  cut(a: (host: string) => boolean, b: (host: string) => boolean, forMs: number, oneWay = false): void {
    this.cuts.push({ a, b, untilMs: this.clock.nowMs() + forMs, oneWay });
  }

  /** Runs `deliver` when a packet sent now arrives: after the cut, when there is one. */
  carry(from: string, to: string, deliver: () => void): void {
    const now = this.clock.nowMs();
    this.cuts = this.cuts.filter((c) => c.untilMs > now);
    let at = now + 1 + this.random() * (4 + this.slowMs);
    for (const c of this.cuts) {
      if ((c.a(from) && c.b(to)) || (!c.oneWay && c.a(to) && c.b(from)))
        at = Math.max(at, c.untilMs + this.random() * 5);
    }
    this.clock.after(at - now, deliver);
  }

  /** A caller that lives at `from`; once `alive` says no, answers reach nobody, but requests still travel. */
  caller(from: string, alive: () => boolean): HttpCaller {
    return {
      call: (address, method, path, body, timeoutMs) =>
        new Promise<ClientResponse>((resolve, reject) => {
          const timer = this.clock.after(timeoutMs, () => {
            if (alive()) reject(new NoResponseError("timeout", false));
          });
          const copy = body === undefined ? undefined : (JSON.parse(JSON.stringify(body)) as unknown);
          const arrive = (first: boolean): void => {
            const host = this.hosts.get(address);
            if (!host) {
              if (first && alive()) {
                timer.cancel();
                reject(new NoResponseError("refused", true));
              }
              return;
            }
            host(
              { method, path, body: copy },
              (reply) => {
                const text = JSON.stringify(reply.body ?? null);
                this.carry(address, from, () => {
                  if (!first || !alive()) return;
                  timer.cancel();
                  resolve({ status: reply.status, body: JSON.parse(text) as unknown });
                });
              },
              from,
            );
          };
          this.carry(from, address, () => arrive(true));
          if (method === "POST" && this.random() < this.repeatShare) {
            this.clock.after(500 + this.random() * (this.repeatWithinMs - 500), () => arrive(false));
          }
        }),
    };
  }
}
