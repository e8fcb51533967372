import type { Machine } from "../../bookkeeping/workload.js";

interface Group {
  up: number;
  silent: number;
}

/** Fewer silent machines than this in a zone prove nothing about the zone. */
const MIN_SILENT_IN_ZONE = 3;
/** With fewer silent machines than this at one controller, it is not the controller's fault. */
const MIN_SILENT_AT_SERVER = 4;

/** How many machines are silent, by zone and by the controller that serves them: whose fault a silence is. */
export class SilenceCounts {
  /** Spot machines that are up, silent or not. */
  readonly spotMachinesUp: number;
  private readonly zones = new Map<string, Group>();
  private readonly servers = new Map<string, Group>();

  constructor(machines: Iterable<Machine>, suspectS: number, nowMs: number) {
    let spotMachinesUp = 0;
    for (const machine of machines) {
      if (machine.state !== "up") continue;
      if (machine.spot) spotMachinesUp++;
      const silent = nowMs - machine.lastContactMs > suspectS * 1000;
      addTo(this.zones, machine.zone, silent);
      addTo(this.servers, machine.heartbeatServer ?? "", silent);
    }
    this.spotMachinesUp = spotMachinesUp;
  }

  /** Are most machines of its zone silent? */
  mostOfZone(machine: Machine): boolean {
    const zone = this.zones.get(machine.zone);
    return zone !== undefined && zone.silent >= MIN_SILENT_IN_ZONE && zone.silent * 2 > zone.up;
  }

  /** Are many of the machines silent that the same controller serves? */
  manyOfServer(machine: Machine): boolean {
    const server = this.servers.get(machine.heartbeatServer ?? "");
    return server !== undefined && server.silent >= MIN_SILENT_AT_SERVER && server.silent * 4 >= server.up;
  }
}

function addTo(groups: Map<string, Group>, key: string, silent: boolean): void {
  const group = groups.get(key) ?? { up: 0, silent: 0 };
  group.up++;
  if (silent) group.silent++;
  groups.set(key, group);
}
