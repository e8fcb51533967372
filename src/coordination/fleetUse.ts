import type { Machine } from "../bookkeeping/machines.js";
import { loadOf } from "./magnet/rings.js";

interface Sum {
  machines: number;
  booting: number;
  running: number;
  preparing: number;
}

/** Adds up what the paid machines do, kind by kind, for the log: where money goes that no work has. */
export class FleetUse {
  private readonly sums = new Map<string, Sum>();
  private samples = 0;

  sample(machines: Iterable<Machine>): void {
    this.samples++;
    for (const m of machines) {
      if (!m.type || m.state === "leaving") continue;
      const kind = m.spot ? `${m.type.name} (spot)` : m.type.name;
      let sum = this.sums.get(kind);
      if (!sum) {
        sum = { machines: 0, booting: 0, running: 0, preparing: 0 };
        this.sums.set(kind, sum);
      }
      sum.machines++;
      if (m.state === "booting") {
        sum.booting++;
        continue;
      }
      const run = { cpus: 0, gpus: 0, memoryGb: 0 };
      for (const a of m.attempts) {
        if (a.phase !== "running") continue;
        run.cpus += a.job.spec.cpus;
        run.gpus += a.job.spec.gpus;
        run.memoryGb += a.job.spec.memoryGb;
      }
      const running = loadOf(run, m.type);
      sum.running += running;
      sum.preparing += Math.max(0, loadOf(m.used, m.type) - running);
    }
  }

  /** What has been seen since it was told last; null: nothing. */
  told(): string | null {
    if (this.sums.size === 0) return null;
    const parts = [];
    for (const [kind, s] of [...this.sums].sort((a, b) => (a[0] < b[0] ? -1 : 1))) {
      const percent = (n: number): string => `${((100 * n) / s.machines).toFixed(0)}%`;
      const idle = s.machines - s.booting - s.running - s.preparing;
      parts.push(
        `${kind} ${(s.machines / this.samples).toFixed(1)}: ${percent(s.running)} running, ` +
          `${percent(s.preparing)} preparing, ${percent(idle)} free, ${percent(s.booting)} booting`,
      );
    }
    this.sums.clear();
    this.samples = 0;
    return parts.join("; ");
  }
}
