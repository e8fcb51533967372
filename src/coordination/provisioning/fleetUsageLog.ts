/** Periodic log line on the utilization of the paid machines. */
import type { Resources } from "../../bookkeeping/resources.js";
import type { Machine } from "../../bookkeeping/workload.js";
import { log, quoteName } from "../../transport/log.js";
import { loadOf } from "../consolidation/machineLoad.js";
import type { MachineRegistry } from "../term/machineRegistry.js";

const LOG_INTERVAL_MS = 60_000;

/** Sums over the samples of one kind of machine, in machines; `running` and `preparing` are sums of machine shares. */
interface UsageSum {
  /** The kind's name in the log line. */
  kind: string;
  machines: number;
  booting: number;
  /** Share used by tasks that run. */
  running: number;
  /** Share used by tasks that don't run yet or are being stopped. */
  preparing: number;
}

/** Logs the utilization of each kind of machine once a minute, to show how much paid capacity runs no tasks. */
export class FleetUsageLog {
  private readonly sums = new Map<string, UsageSum>();
  private samples = 0;

  constructor(
    private readonly machines: MachineRegistry,
    private lastLoggedMs: number,
  ) {}

  /** Adds a sample of all machines, and logs and resets the sums once the log interval is over. */
  sample(nowMs: number): void {
    this.samples++;
    for (const machine of this.machines.values()) this.addMachine(machine);
    if (nowMs - this.lastLoggedMs < LOG_INTERVAL_MS) return;
    this.lastLoggedMs = nowMs;
    if (this.sums.size === 0) return;
    log.info(`fleet in the last minute: ${this.summary()}`);
    this.sums.clear();
    this.samples = 0;
  }

  private addMachine(machine: Machine): void {
    const { type } = machine;
    if (!type || machine.state === "leaving") return;
    const sum = this.sumOf(type.name, machine.spot);
    sum.machines++;
    if (machine.state === "booting") {
      sum.booting++;
      return;
    }
    const running = loadOf(runningResources(machine), type);
    sum.running += running;
    sum.preparing += Math.max(0, loadOf(machine.used, type) - running);
  }

  private sumOf(type: string, spot: boolean): UsageSum {
    // The first word is one of two, so the key is unambiguous whatever the type's name contains.
    const key = `${spot ? "spot" : "on-demand"} ${type}`;
    let sum = this.sums.get(key);
    if (!sum) {
      sum = {
        kind: spot ? `${quoteName(type)} (spot)` : quoteName(type),
        machines: 0,
        booting: 0,
        running: 0,
        preparing: 0,
      };
      this.sums.set(key, sum);
    }
    return sum;
  }

  private summary(): string {
    return [...this.sums.values()]
      .sort((left, right) => (left.kind < right.kind ? -1 : 1))
      .map((sum) => this.describe(sum))
      .join("; ");
  }

  private describe({ kind, machines, booting, running, preparing }: UsageSum): string {
    const free = machines - booting - running - preparing;
    const shares = [
      `${percent(running, machines)} running`,
      `${percent(preparing, machines)} preparing`,
      `${percent(free, machines)} free`,
      `${percent(booting, machines)} booting`,
    ];
    return `${kind} ${(machines / this.samples).toFixed(1)}: ${shares.join(", ")}`;
  }
}

function runningResources(machine: Machine): Resources {
  const sum = { cpus: 0, gpus: 0, memoryGb: 0 };
  for (const { phase, job } of machine.attempts) {
    if (phase !== "running") continue;
    sum.cpus += job.spec.cpus;
    sum.gpus += job.spec.gpus;
    sum.memoryGb += job.spec.memoryGb;
  }
  return sum;
}

function percent(part: number, whole: number): string {
  return `${((100 * part) / whole).toFixed(0)}%`;
}
