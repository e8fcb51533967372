import type { ClientResponse } from "../../src/transport/httpClient.js";
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
  /** Its worker has started. */
  up: boolean;
}

/** How machines come up that are rented while it lasts. */
export interface BootTrouble {
  /** Times the type's boot time. */
  factor: number;
  /** Share of the machines that never come up. */
  neverShare: number;
}

/** The cloud by its published protocol: named requests, lagging lists, capacity, outages. */
export class SimCloud {
  readonly tufts = new Map<string, SimTuft>();
  private readonly pleas = new Map<string, string[]>();
  private next = 0;
  private outageUntilMs = -Infinity;
  private bootTrouble: (BootTrouble & { untilMs: number }) | null = null;
  capacity = 12;

  constructor(
    private readonly clock: SimClock,
    net: SimNet,
    readonly address: string,
    readonly types: SimType[],
    private readonly lagMs: number,
    private readonly onBoot: (t: SimTuft) => void,
    private readonly onGone: (t: SimTuft) => void,
    private readonly random: () => number,
  ) {
    net.listen(address, (q, answer) => answer(this.serve(q)));
  }

  outage(forMs: number): void {
    this.outageUntilMs = this.clock.nowMs() + forMs;
  }

  /** Machines that are rented from now on come up late, at once or never. */
  troubleBoots(trouble: BootTrouble, forMs: number): void {
    this.bootTrouble = { ...trouble, untilMs: this.clock.nowMs() + forMs };
  }

  /** The machine is lost without a word. */
  take(ref: string): void {
    const tuft = this.tufts.get(ref);
    if (!tuft) return;
    this.tufts.delete(ref);
    this.onGone(tuft);
  }

  private serve(q: SimRequest): ClientResponse {
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
      .map((tuft) => ({
        ...tuft,
        phase: tuft.up ? "running" : "starting",
        ageS: (this.clock.nowMs() - tuft.bornMs) / 1000,
      }));
    return { status: 200, body: { tufts, more: false } };
  }

  private rent(body: Record<string, unknown>): ClientResponse {
    const plea = String(body.plea);
    const known = this.pleas.get(plea);
    if (known) return { status: 200, body: { tufts: known } };
    const names: string[] = [];
    while (names.length < Number(body.howMany) && this.tufts.size < this.capacity) {
      const n = this.next++;
      const tuft: SimTuft = {
        ref: `host-${String(n).padStart(6, "0")}`,
        address: `10.1.0.${n}:9000`,
        breed: String(body.breed),
        patch: String(body.patch),
        windfall: body.windfall === true,
        bornMs: this.clock.nowMs(),
        up: false,
      };
      this.tufts.set(tuft.ref, tuft);
      names.push(tuft.ref);
      this.bootLater(tuft);
    }
    if (names.length === 0) return { status: 503, body: { error: "no capacity" } };
    this.pleas.set(plea, names);
    return { status: 200, body: { tufts: names } };
  }

  private bootLater(tuft: SimTuft): void {
    const bootMs = (this.types.find((x) => x.name === tuft.breed)?.bootS ?? 5) * 1000;
    const now = this.clock.nowMs();
    const trouble = this.bootTrouble !== null && now < this.bootTrouble.untilMs ? this.bootTrouble : null;
    if (trouble && this.random() < trouble.neverShare) return;
    this.clock.after(bootMs * (trouble?.factor ?? 1), () => {
      if (!this.tufts.has(tuft.ref)) return;
      tuft.up = true;
      this.onBoot(tuft);
    });
  }
}
