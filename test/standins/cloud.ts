import type { Reply } from "../../src/transport/httpClient.js";
import type { SimClock } from "./clock.js";
import type { SimNet, SimRequest } from "./net.js";

export interface SimType {
  name: string;
  cores: number;
  gpus: number;
  memoryGb: number;
  price: number;
  lowPrice: number;
  bootS: number;
  patches: string[];
}

export interface SimTuft {
  ref: string;
  address: string;
  breed: string;
  patch: string;
  windfall: boolean;
  bornMs: number;
}

/** The cloud by its published protocol: named requests, lagging lists, capacity, outages. */
export class SimCloud {
  readonly tufts = new Map<string, SimTuft>();
  private readonly pleas = new Map<string, string[]>();
  private next = 0;
  private outageUntilMs = -Infinity;
  capacity = 12;

  constructor(
    private readonly clock: SimClock,
    net: SimNet,
    readonly address: string,
    readonly types: SimType[],
    private readonly lagMs: number,
    private readonly onBoot: (t: SimTuft) => void,
    private readonly onGone: (t: SimTuft) => void,
  ) {
    net.listen(address, (q, answer) => answer(this.serve(q)));
  }

  outage(forMs: number): void {
    this.outageUntilMs = this.clock.nowMs() + forMs;
  }

  /** The machine is lost without a word. */
  take(ref: string): void {
    const t = this.tufts.get(ref);
    if (!t) return;
    this.tufts.delete(ref);
    this.onGone(t);
  }

  private serve(q: SimRequest): Reply {
    if (this.clock.nowMs() < this.outageUntilMs) return { status: 503, body: { error: "trouble" } };
    const url = new URL(q.path, "http://cloud");
    const body = q.body as Record<string, unknown>;
    if (url.pathname === "/flavors") {
      return {
        status: 200,
        body: { breeds: this.types.map((t) => ({ ...t, cacheGb: 40, fetchGbPerS: 1 })) },
      };
    }
    if (url.pathname === "/machines/delete") {
      for (const ref of body.tufts as string[]) this.take(ref);
      return { status: 200, body: {} };
    }
    if (q.method === "POST") return this.rent(body);
    const after = url.searchParams.get("after") ?? "";
    const tufts = [...this.tufts.values()]
      .filter((t) => t.ref > after && this.clock.nowMs() - t.bornMs > this.lagMs)
      .map((t) => ({ ...t, phase: "running", ageS: (this.clock.nowMs() - t.bornMs) / 1000 }));
    return { status: 200, body: { tufts, more: false } };
  }

  private rent(body: Record<string, unknown>): Reply {
    const plea = String(body.plea);
    const known = this.pleas.get(plea);
    if (known) return { status: 200, body: { tufts: known } };
    const names: string[] = [];
    while (names.length < Number(body.howMany) && this.tufts.size < this.capacity) {
      const n = this.next++;
      const t: SimTuft = {
        ref: `host-${String(n).padStart(6, "0")}`,
        address: `10.1.0.${n}:9000`,
        breed: String(body.breed),
        patch: String(body.patch),
        windfall: body.windfall === true,
        bornMs: this.clock.nowMs(),
      };
      this.tufts.set(t.ref, t);
      names.push(t.ref);
      const boot = (this.types.find((x) => x.name === t.breed)?.bootS ?? 5) * 1000;
      this.clock.after(boot, () => {
        if (this.tufts.has(t.ref)) this.onBoot(t);
      });
    }
    if (names.length === 0) return { status: 503, body: { error: "no capacity" } };
    this.pleas.set(plea, names);
    return { status: 200, body: { tufts: names } };
  }
}
