import type { Machine } from "../../bookkeeping/workload.js";
import { log } from "../../transport/log.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import { loadOf } from "../consolidation/machineLoad.js";

interface Sum {
  machines: number;
  booting: number;
  running: number;
  preparing: number;
}

/** The log is told this often what the fleet does. */
const LOG_EVERY_MS = 60_000;

/** Logs what the paid machines do, kind by kind: where money goes that no work has. */
export class FleetUsageLog {
  private readonly sums = new Map<string, Sum>();
  private samples = 0;

  constructor(
    private readonly machines: MachineRegistry,
    private loggedMs: number,
  ) {}

  /** Adds up what the machines do at this moment; now and then the sum is logged. */
  sample(nowMs: number): void {
    this.addSample(this.machines.values());
    if (nowMs - this.loggedMs < LOG_EVERY_MS) return;
    this.loggedMs = nowMs;
    const summary = this.summary();
    if (summary !== null) log.info(`fleet in the last minute: ${summary}`);
  }

  private addSample(machines: Iterable<Machine>): void {
    this.samples++;
    for (const machine of machines) {
      if (!machine.type || machine.state === "leaving") continue;
      const kind = machine.spot ? `${machine.type.name} (spot)` : machine.type.name;
      let sum = this.sums.get(kind);
      if (!sum) {
        sum = { machines: 0, booting: 0, running: 0, preparing: 0 };
        this.sums.set(kind, sum);
      }
      sum.machines++;
      if (machine.state === "booting") {
        sum.booting++;
        continue;
      }
      const run = { cpus: 0, gpus: 0, memoryGb: 0 };
      for (const attempt of machine.attempts) {
        if (attempt.phase !== "running") continue;
        run.cpus += attempt.job.spec.cpus;
        run.gpus += attempt.job.spec.gpus;
        run.memoryGb += attempt.job.spec.memoryGb;
      }
      const running = loadOf(run, machine.type);
      sum.running += running;
      sum.preparing += Math.max(0, loadOf(machine.used, machine.type) - running);
    }
  }

  /** What has been seen since it was told last; null: nothing. */
  private summary(): string | null {
    if (this.sums.size === 0) return null;
    const parts = [];
    for (const [kind, sum] of [...this.sums].sort((a, b) => (a[0] < b[0] ? -1 : 1))) {
      const percent = (n: number): string => `${((100 * n) / sum.machines).toFixed(0)}%`;
      const idle = sum.machines - sum.booting - sum.running - sum.preparing;
      parts.push(
        `${kind} ${(sum.machines / this.samples).toFixed(1)}: ${percent(sum.running)} running, ` +
          `${percent(sum.preparing)} preparing, ${percent(idle)} free, ${percent(sum.booting)} booting`,
      );
    }
    this.sums.clear();
    this.samples = 0;
    return parts.join("; ");
  }
}
