/**
 * A fake of the cloud's interface, by its published protocol: idempotent requests for machines, lists that lag behind,
 * limited capacity, outages, and boots that go wrong. Names on the wire are translated here and nowhere else.
 */
import type { ClientResponse } from "../../src/transport/httpClient.js";
import type { SimClock } from "./clock.js";
import type { SimNet, SimRequest } from "./net.js";

/** A machine type that the cloud offers. */
export interface SimMachineType {
  name: string;
  cores: number;
  gpus: number;
  memoryGb: number;
  /** Price per hour on demand. */
  price: number;
  /** Price per hour of a spot instance. */
  spotPrice: number;
  /** Seconds from the request until the machine's worker starts. */
  bootS: number;
  zones: string[];
}

/** A machine that exists and is paid for. */
export interface SimMachine {
  id: string;
  /** Where its worker listens. */
  address: string;
  type: string;
  zone: string;
  isSpot: boolean;
  createdAtMs: number;
  /** Its worker has started. */
  isUp: boolean;
}

/** How machines boot that are requested while the fault lasts. */
export interface BootFault {
  /** Times the type's boot time. */
  delayFactor: number;
  /** Share of the machines that never come up. */
  neverShare: number;
}

/** What the fake cloud needs from its world. */
export interface SimCloudOptions {
  clock: SimClock;
  net: SimNet;
  random: () => number;
  /** Where it listens. */
  address: string;
  types: SimMachineType[];
  /** A new machine appears in lists only after this time. */
  listLagMs: number;
  /** A machine has booted: its worker starts now. */
  onBoot: (machine: SimMachine) => void;
  /** A machine was deleted or lost. */
  onGone: (machine: SimMachine) => void;
}

/** Image cache and download rate that every machine type has on the wire. */
const IMAGE_CACHE = { cacheGb: 40, fetchGbPerS: 1 };
/** Boot time of a machine whose type is unknown. */
const DEFAULT_BOOT_S = 5;

/** The cloud: its machines are kept in order of their creation. */
export class SimCloud {
  readonly machines = new Map<string, SimMachine>();
  /** Most machines that may exist at a time. */
  capacity = 12;
  /** Machines created for each request id: a repeated request gets the same answer and creates none. */
  private readonly createRequests = new Map<string, string[]>();
  private nextMachine = 0;
  private outageUntilMs = -Infinity;
  private bootFault: (BootFault & { untilMs: number }) | null = null;

  constructor(private readonly options: SimCloudOptions) {
    options.net.listen(options.address, (request, respond) => respond(this.serve(request)));
  }

  /** Answers every request with an error for that time. */
  startOutage(forMs: number): void {
    this.outageUntilMs = this.nowMs() + forMs;
  }

  /** Machines that are requested in that time come up late, at once or never. */
  disturbBoots(fault: BootFault, forMs: number): void {
    this.bootFault = { ...fault, untilMs: this.nowMs() + forMs };
  }

  /** The machine stops without notice; an unknown id is ignored. */
  loseMachine(id: string): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    this.machines.delete(id);
    this.options.onGone(machine);
  }

  private nowMs(): number {
    return this.options.clock.nowMs();
  }

  private serve(request: SimRequest): ClientResponse {
    if (this.nowMs() < this.outageUntilMs) return { status: 503, body: { error: "trouble" } };
    const url = new URL(request.path, "http://cloud");
    const body = request.body as Record<string, unknown>;
    if (url.pathname === "/flavors") return this.listTypes();
    if (url.pathname === "/machines/delete") return this.deleteMachines(body);
    if (request.method === "POST") return this.createMachines(body);
    return this.listMachines(url.searchParams.get("after") ?? "");
  }

  private listTypes(): ClientResponse {
    const breeds = this.options.types.map(({ spotPrice, zones, ...type }) => ({
      ...type,
      lowPrice: spotPrice,
      patches: zones,
      ...IMAGE_CACHE,
    }));
    return { status: 200, body: { breeds } };
  }

  private deleteMachines(body: Record<string, unknown>): ClientResponse {
    for (const id of body.tufts as string[]) this.loseMachine(id);
    return { status: 200, body: {} };
  }

  private listMachines(after: string): ClientResponse {
    const nowMs = this.nowMs();
    const tufts = [...this.machines.values()]
      .filter((machine) => machine.id > after && nowMs - machine.createdAtMs > this.options.listLagMs)
      .map((machine) => ({
        ref: machine.id,
        address: machine.address,
        breed: machine.type,
        patch: machine.zone,
        windfall: machine.isSpot,
        phase: machine.isUp ? "running" : "starting",
        ageS: (nowMs - machine.createdAtMs) / 1000,
      }));
    return { status: 200, body: { tufts, more: false } };
  }

  private createMachines(body: Record<string, unknown>): ClientResponse {
    const requestId = String(body.plea);
    const known = this.createRequests.get(requestId);
    if (known) return { status: 200, body: { tufts: known } };
    const ids: string[] = [];
    while (ids.length < Number(body.howMany) && this.machines.size < this.capacity) {
      ids.push(this.createMachine(body).id);
    }
    if (ids.length === 0) return { status: 503, body: { error: "no capacity" } };
    this.createRequests.set(requestId, ids);
    return { status: 200, body: { tufts: ids } };
  }

  private createMachine(body: Record<string, unknown>): SimMachine {
    const index = this.nextMachine++;
    const machine: SimMachine = {
      id: `host-${String(index).padStart(6, "0")}`,
      address: `10.1.0.${index}:9000`,
      type: String(body.breed),
      zone: String(body.patch),
      isSpot: body.windfall === true,
      createdAtMs: this.nowMs(),
      isUp: false,
    };
    this.machines.set(machine.id, machine);
    this.bootLater(machine);
    return machine;
  }

  private bootLater(machine: SimMachine): void {
    const type = this.options.types.find(({ name }) => name === machine.type);
    const bootMs = (type?.bootS ?? DEFAULT_BOOT_S) * 1000;
    const fault = this.bootFault !== null && this.nowMs() < this.bootFault.untilMs ? this.bootFault : null;
    if (fault && this.options.random() < fault.neverShare) return;
    this.options.clock.after(bootMs * (fault?.delayFactor ?? 1), () => {
      if (!this.machines.has(machine.id)) return;
      machine.isUp = true;
      this.options.onBoot(machine);
    });
  }
}
