/** Distinguishes a single silent machine from a failed zone or controller by counting the silent machines of each. */
import type { Machine } from "../../bookkeeping/workload.js";

/** Number of machines that are up, and how many of them are silent. */
interface MachineCounts {
  up: number;
  silent: number;
}

/** A zone is considered partitioned when at least this many, and more than this fraction, of its machines are silent. */
const MIN_SILENT_IN_ZONE = 3;
const SILENT_FRACTION_OF_ZONE = 1 / 2;
/** A controller is suspected when at least this many, and at least this fraction, of its machines are silent. */
const MIN_SILENT_AT_SERVER = 4;
const SILENT_FRACTION_AT_SERVER = 1 / 4;

/** Counts silent machines by zone and by heartbeat server, to show whether a zone or a controller causes the silence. */
export class SilenceCounts {
  /** Number of spot machines that are up, including silent ones. */
  readonly spotMachinesUp: number;
  private readonly zones = new Map<string, MachineCounts>();
  private readonly servers = new Map<string, MachineCounts>();

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

  /** True if most machines in the machine's zone are silent: the zone is probably partitioned and its machines healthy. */
  isZoneMostlySilent(machine: Machine): boolean {
    const zone = this.zones.get(machine.zone);
    return (
      zone !== undefined &&
      zone.silent >= MIN_SILENT_IN_ZONE &&
      zone.silent > zone.up * SILENT_FRACTION_OF_ZONE
    );
  }

  /** True if many machines served by the machine's controller are silent: the controller is probably the cause. */
  isServerSuspect(machine: Machine): boolean {
    const server = this.servers.get(machine.heartbeatServer ?? "");
    return (
      server !== undefined &&
      server.silent >= MIN_SILENT_AT_SERVER &&
      server.silent >= server.up * SILENT_FRACTION_AT_SERVER
    );
  }
}

function addTo(groups: Map<string, MachineCounts>, key: string, isSilent: boolean): void {
  const group = groups.get(key) ?? { up: 0, silent: 0 };
  group.up++;
  if (isSilent) group.silent++;
  groups.set(key, group);
}
