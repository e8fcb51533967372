/**
 * A fake of the cloud's API that implements its published protocol: idempotent machine requests, eventually consistent
 * lists, limited capacity, outages and boot failures. Only this module translates the API's names on the wire.
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
  /** Price per hour of an on-demand machine. */
  price: number;
  /** Price per hour of a spot instance. */
  spotPrice: number;
  /** Time from the request until the machine's worker starts. */
  bootS: number;
  zones: string[];
}

/** A machine that exists and incurs costs. */
export interface SimMachine {
  id: string;
  /** Address at which the machine's worker listens. */
  address: string;
  type: string;
  zone: string;
  isSpot: boolean;
  createdAtMs: number;
  /** Whether the machine's worker has started. */
  isUp: boolean;
}

/** A fault that affects the boot of machines requested while it lasts. */
export interface BootFault {
  /** Factor by which the boot time of the machine's type is multiplied. */
  delayFactor: number;
  /** Share of the machines whose worker never starts. */
  failureShare: number;
}

/** Dependencies and settings of the fake cloud. */
export interface SimCloudOptions {
  clock: SimClock;
  net: SimNet;
  random: () => number;
  /** Address at which the cloud's API listens. */
  address: string;
  types: SimMachineType[];
  /** Delay until a new machine appears in lists. */
  listLagMs: number;
  /** Called when a machine has booted, to start its worker. */
  onBoot: (machine: SimMachine) => void;
  /** Called when a machine was deleted or lost. */
  onTerminated: (machine: SimMachine) => void;
}

/** Image cache size and download rate reported for every machine type, with their names on the wire. */
const IMAGE_CACHE = { cacheGb: 40, fetchGbPerS: 1 };
/** Boot time of a machine of an unknown type. */
const DEFAULT_BOOT_S = 5;

/** The cloud, which owns the machines in order of their creation. */
export class SimCloud {
  readonly machines = new Map<string, SimMachine>();
  /** Maximum number of machines that can exist at a time. */
  capacity = 12;
  /**
   * Ids of the machines created for each request id; a repeated request returns the same ids and creates no machine.
   */
  private readonly createRequests = new Map<string, string[]>();
  private nextMachine = 0;
  /** Zones in which the cloud has no capacity. */
  readonly fullZones = new Set<string>();
  /** What the names of new machines begin with; a number of six digits follows. */
  machineNamePrefix = "host-";
  private outageUntilMs = -Infinity;
  private bootFault: (BootFault & { untilMs: number }) | null = null;

  constructor(private readonly options: SimCloudOptions) {
    options.net.listen(options.address, (request, respond) => respond(this.serve(request)));
  }

  /** Answers every request with an error for `durationMs`. */
  startOutage(durationMs: number): void {
    this.outageUntilMs = this.nowMs() + durationMs;
  }

  /** Applies the fault to the boot of all machines that are requested within `durationMs`. */
  injectBootFault(fault: BootFault, durationMs: number): void {
    this.bootFault = { ...fault, untilMs: this.nowMs() + durationMs };
  }

  /** Removes the machine without notice; an unknown id is ignored. */
  loseMachine(id: string): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    this.machines.delete(id);
    this.options.onTerminated(machine);
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
    const isZoneFull = this.fullZones.has(String(body.patch));
    while (!isZoneFull && ids.length < Number(body.howMany) && this.machines.size < this.capacity) {
      ids.push(this.createMachine(body).id);
    }
    if (ids.length === 0) return { status: 503, body: { error: "no capacity" } };
    this.createRequests.set(requestId, ids);
    return { status: 200, body: { tufts: ids } };
  }

  private createMachine(body: Record<string, unknown>): SimMachine {
    const index = this.nextMachine++;
    const machine: SimMachine = {
      id: `${this.machineNamePrefix}${String(index).padStart(6, "0")}`,
      address: `10.1.0.${index}:9000`,
      type: String(body.breed),
      zone: String(body.patch),
      isSpot: body.windfall === true,
      createdAtMs: this.nowMs(),
      isUp: false,
    };
    this.machines.set(machine.id, machine);
    this.scheduleBoot(machine);
    return machine;
  }

  private scheduleBoot(machine: SimMachine): void {
    const type = this.options.types.find(({ name }) => name === machine.type);
    const bootMs = (type?.bootS ?? DEFAULT_BOOT_S) * 1000;
    const fault = this.bootFault !== null && this.nowMs() < this.bootFault.untilMs ? this.bootFault : null;
    if (fault && this.options.random() < fault.failureShare) return;
    this.options.clock.after(bootMs * (fault?.delayFactor ?? 1), () => {
      if (!this.machines.has(machine.id)) return;
      machine.isUp = true;
      this.options.onBoot(machine);
    });
  }
}
