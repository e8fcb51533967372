import { TYPES, type Limits } from "./region.js";
import type { SimWorker } from "./worker.js";
import type { SimJob } from "./job.js";
import type { World } from "./world.js";

/** Three times the longest boot, half a minute, and time for the list and the deletion. */
const NEVER_UP_MS = 60_000;
/** No job waits this long while a machine that fits has room and its team is under its limit. */
const LEFT_WAITING_MS = 90_000;
const LOOK_EVERY_MS = 3000;

interface Room {
  cores: number;
  gpus: number;
  memoryGb: number;
}

interface TeamUse {
  cores: number;
  gpus: number;
}

/** What tasks leave free on each machine, and what each team's use. */
interface Snapshot {
  free: Map<SimWorker, Room>;
  used: Record<"one" | "two", TeamUse>;
}

/** Looks, once all troubles are over, for jobs that are left waiting and machines that are paid for in vain. */
export class CalmWatch {
  /** Machines that were paid for long past their boot, and said so once. */
  private readonly lingering = new Set<string>();

  constructor(
    private readonly world: World,
    private readonly limits: Limits,
  ) {}

  start(): void {
    this.world.clock.after(LOOK_EVERY_MS, () => this.start());
    const now = this.world.clock.nowMs();
    if (now < this.world.calmFromMs) return;
    this.watchBoots(now);
    this.watchWaiting(now);
  }

  /** Troubles over, what never came up is not paid for any longer. */
  private watchBoots(now: number): void {
    for (const tuft of this.world.cloud.tufts.values()) {
      if (tuft.up || this.lingering.has(tuft.ref)) continue;
      if (now - Math.max(tuft.bornMs, this.world.calmFromMs) < NEVER_UP_MS) continue;
      this.lingering.add(tuft.ref);
      this.world.broken.push(`paid for nothing ${tuft.ref}: never up since ${tuft.bornMs}`);
    }
  }

  /** Troubles over, no job waits for 90 s while machines that fit have room and its team is under its limit. */
  private watchWaiting(now: number): void {
    const snapshot = this.snapshot();
    for (const job of this.world.jobs.values()) {
      const { spec } = job;
      const open = spec.spores - job.done.size - this.world.live(spec.ref).length;
      const waits = job.accepted && job.told === null && !job.cancelAsked && open > 0;
      if (!waits || !this.hasRoom(spec, spec.form === "array" ? 1 : spec.spores, snapshot)) {
        job.waitsSinceMs = null;
        continue;
      }
      job.waitsSinceMs ??= now;
      if (now - job.waitsSinceMs < LEFT_WAITING_MS) continue;
      this.world.broken.push(`left waiting ${spec.ref}`);
      job.waitsSinceMs = now;
    }
  }

  private snapshot(): Snapshot {
    const free = new Map<SimWorker, Room>();
    const used = { one: { cores: 0, gpus: 0 }, two: { cores: 0, gpus: 0 } };
    for (const worker of this.world.workers.values()) {
      const type = TYPES.find((t) => t.name === worker.tuft.breed)!;
      const left = { cores: type.cores, gpus: type.gpus, memoryGb: type.memoryGb };
      for (const task of worker.tasks.values()) {
        const spec = this.world.jobs.get(task.spore.split("/")[0]!)?.spec;
        if (!spec || task.phase === "exited") continue;
        const team = used[spec.crew as "one" | "two"];
        left.cores -= spec.cores;
        team.cores += spec.cores;
        left.gpus -= Number(spec.gpus);
        team.gpus += Number(spec.gpus);
        left.memoryGb -= Number(spec.memoryGb);
      }
      free.set(worker, left);
    }
    return { free, used };
  }

  private hasRoom(spec: SimJob["spec"], tasks: number, { free, used }: Snapshot): boolean {
    const crew = spec.crew as "one" | "two";
    const gpus = Number(spec.gpus);
    const live = this.world.live(spec.ref);
    const need = spec.form === "array" ? 1 : tasks - live.length;
    const limit = this.limits[crew];
    if (used[crew].cores + need * spec.cores > limit.cpus || used[crew].gpus + need * gpus > limit.gpus)
      return false;
    const inZone = new Map<string, number>();
    for (const [worker, left] of free) {
      const { patch } = worker.tuft;
      if (!mayRunOn(spec, worker)) continue;
      const by = [
        left.cores / spec.cores,
        left.memoryGb / Number(spec.memoryGb),
        gpus > 0 ? left.gpus / gpus : Infinity,
      ];
      inZone.set(patch, (inZone.get(patch) ?? 0) + Math.max(0, Math.floor(Math.min(...by))));
    }
    const zones = [...inZone].map(([zone, n]) => {
      const there = live.filter((x) => x.w.tuft.patch === zone).length;
      if (spec.together && live.length > there) return 0;
      return spec.scatter ? Math.min(n, Math.ceil(spec.spores / 2) - there) : n;
    });
    return (spec.together ? Math.max(0, ...zones) : zones.reduce((a, b) => a + b, 0)) >= need;
  }
}

/** Type, zone and kind of machine that the job itself allows. */
function mayRunOn(spec: SimJob["spec"], worker: SimWorker): boolean {
  const { breed, patch, windfall } = worker.tuft;
  const breeds = spec.breeds as string[] | null | undefined;
  if (breeds && !breeds.includes(breed)) return false;
  if (spec.patch && spec.patch !== patch) return false;
  return !windfall || spec.windfall === true;
}
