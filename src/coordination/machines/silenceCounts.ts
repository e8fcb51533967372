/** Tells a silent machine from a silent zone or controller, by counting who else is silent. */
import type { Machine } from "../../bookkeeping/workload.js";

/** Machines that are up, silent ones among them. */
interface Group {
  up: number;
  silent: number;
}

/** A zone seems to be cut off when at least so many of its machines, and more than this part of them, are silent. */
const MIN_SILENT_IN_ZONE = 3;
const SILENT_PART_OF_ZONE = 1 / 2;
/** A controller seems to be at fault when at least so many of its machines, and this part of them, are silent. */
const MIN_SILENT_AT_SERVER = 4;
const SILENT_PART_AT_SERVER = 1 / 4;

/** How many machines are silent, by zone and by the controller that serves them: where the cause of a silence may lie. */
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
      const isSilent = nowMs - machine.lastContactMs > suspectS * 1000;
      addTo(this.zones, machine.zone, isSilent);
      addTo(this.servers, machine.heartbeatServer ?? "", isSilent);
    }
    this.spotMachinesUp = spotMachinesUp;
  }

  /** Are most machines of its zone silent? Then the zone is probably cut off, and its machines are well. */
  isMostOfZoneSilent(machine: Machine): boolean {
    const zone = this.zones.get(machine.zone);
    return (
      zone !== undefined && zone.silent >= MIN_SILENT_IN_ZONE && zone.silent > zone.up * SILENT_PART_OF_ZONE
    );
  }

  /** Are many of the machines silent that the same controller serves? Then the controller is probably the cause. */
  areManyOfServerSilent(machine: Machine): boolean {
    const server = this.servers.get(machine.heartbeatServer ?? "");
    return (
      server !== undefined &&
      server.silent >= MIN_SILENT_AT_SERVER &&
      server.silent >= server.up * SILENT_PART_AT_SERVER
    );
  }
}

function addTo(groups: Map<string, Group>, key: string, isSilent: boolean): void {
  const group = groups.get(key) ?? { up: 0, silent: 0 };
  group.up++;
  if (isSilent) group.silent++;
  groups.set(key, group);
}
