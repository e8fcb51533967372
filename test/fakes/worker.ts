import type { HttpCaller, ClientResponse } from "../../src/transport/httpClient.js";
import type { SimClock } from "./clock.js";
import type { SimTuft } from "./cloud.js";
import type { SimNet, SimRequest } from "./net.js";

export interface SimTask {
  spore: string;
  sprout: number;
  phase: string;
  cause?: string;
  kept?: boolean;
}

export interface WorkerEvents {
  /** Seconds that the task runs; null: until it is stopped. */
  runS: (spore: string) => number | null;
  gangSize: (jobId: string) => number;
  started: (w: SimWorker, task: SimTask) => void;
  ended: (w: SimWorker, task: SimTask) => void;
  /** All members of this gang attempt that have their image, anywhere. */
  gang: (jobId: string, sprout: number) => { w: SimWorker; task: SimTask }[];
  faulty: (w: SimWorker, spore: string) => boolean;
}

/** A worker by its published protocol. */
export class SimWorker {
  readonly tasks = new Map<string, SimTask>();
  private readonly done = new Set<string>();
  private bloom = 1;
  private tick = 0;
  private crook = 0;
  private node = 0;
  private lastAnsweredSentMs: number;
  private alive = true;
  private hungUntilMs = -Infinity;
  private missUntilMs = -Infinity;
  private reporting = false;
  private readonly http: HttpCaller;
  warningAtMs: number | null = null;

  constructor(
    readonly tuft: SimTuft,
    private readonly clock: SimClock,
    private readonly net: SimNet,
    private readonly nodes: { name: string; address: string }[],
    private readonly settings: { reportS: number; leaseS: number },
    private readonly events: WorkerEvents,
    random: () => number,
  ) {
    this.lastAnsweredSentMs = clock.nowMs();
    this.http = net.caller(tuft.address, () => this.alive);
    this.node = Math.floor(random() * nodes.length);
    net.listen(tuft.address, (q, answer) => {
      if (clock.nowMs() >= this.missUntilMs) this.whenAwake(() => answer(this.command(q)));
    });
    this.beat();
  }

  kill(): void {
    this.alive = false;
    this.net.gone(this.tuft.address);
    for (const t of this.tasks.values()) if (t.phase !== "exited") this.events.ended(this, t);
    this.tasks.clear();
  }

  /** Commands sent straight to it are lost; its reports and their answers are not. */
  missCommands(forMs: number): void {
    this.missUntilMs = this.clock.nowMs() + forMs;
  }

  hang(forMs: number): void {
    this.hungUntilMs = this.clock.nowMs() + forMs;
  }

  private whenAwake(run: () => void): void {
    const wait = this.hungUntilMs - this.clock.nowMs();
    if (wait <= 0) {
      if (this.alive) run();
      return;
    }
    this.clock.after(wait, () => this.whenAwake(run));
  }

  private checkLease(): void {
    if (this.clock.nowMs() - this.lastAnsweredSentMs <= this.settings.leaseS * 1000) return;
    for (const t of this.tasks.values()) if (t.phase !== "exited") this.events.ended(this, t);
    this.tasks.clear();
    this.bloom++;
    this.lastAnsweredSentMs = this.clock.nowMs();
  }

  private report(): Record<string, unknown> {
    const { ref, address, breed, patch, windfall } = this.tuft;
    return {
      tuft: ref,
      address,
      breed,
      patch,
      windfall,
      bloom: this.bloom,
      tick: ++this.tick,
      crook: this.crook,
      warningS:
        this.warningAtMs === null ? null : Math.max(0, (this.warningAtMs - this.clock.nowMs()) / 1000),
      spores: [...this.tasks.values()].map((t) => ({ ...t })),
    };
  }

  private beat(): void {
    if (!this.alive) return;
    this.clock.after(20, () => this.beat());
    // Its lease runs out while it hangs, too: it may go on only within its lease.
    this.checkLease();
    if (this.clock.nowMs() < this.hungUntilMs) return;
    if (!this.reporting && this.clock.nowMs() >= this.nextReportMs) this.send();
  }

  private nextReportMs = 0;
  private soon(): void {
    this.nextReportMs = Math.min(this.nextReportMs, Math.max(this.clock.nowMs(), this.lastSentMs + 500));
  }
  private lastSentMs = -Infinity;

  private send(): void {
    this.reporting = true;
    const sentMs = this.clock.nowMs();
    this.lastSentMs = sentMs;
    const bloom = this.bloom;
    this.nextReportMs = sentMs + this.settings.reportS * 1000;
    const next = (delayMs: number): void => {
      this.node = (this.node + 1) % this.nodes.length;
      this.nextReportMs = this.clock.nowMs() + delayMs;
    };
    this.http.call(this.nodes[this.node]!.address, "POST", "/checkin", this.report(), 4000).then(
      (reply) => {
        this.whenAwake(() => {
          this.reporting = false;
          const body = (reply.body ?? {}) as Record<string, unknown>;
          if (reply.status === 421) {
            const at = this.nodes.findIndex((n) => n.name === body.steward);
            if (at >= 0 && at !== this.node) {
              this.node = at;
              this.nextReportMs = this.clock.nowMs();
            } else next(1000);
            return;
          }
          if (reply.status !== 200) {
            next(1000);
            return;
          }
          this.checkLease();
          if (bloom !== this.bloom || this.clock.nowMs() - sentMs > 4000) return;
          if (typeof body.crook !== "number" || body.crook < this.crook) return;
          this.lastAnsweredSentMs = Math.max(this.lastAnsweredSentMs, sentMs);
          this.execute(body.crook, body.bids as Record<string, unknown>[]);
        });
      },
      () => {
        this.whenAwake(() => {
          this.reporting = false;
          next(1000);
        });
      },
    );
  }

  private command(q: SimRequest): ClientResponse {
    this.checkLease();
    if (q.path !== "/commands") return { status: 200, body: this.report() };
    const b = q.body as Record<string, unknown>;
    if (typeof b.crook !== "number" || typeof b.bloom !== "number") return { status: 400, body: {} };
    if (b.crook < this.crook || b.bloom !== this.bloom) return { status: 409, body: this.report() };
    this.execute(b.crook, b.bids as Record<string, unknown>[]);
    return { status: 200, body: this.report() };
  }

  private execute(crook: number, bids: Record<string, unknown>[]): void {
    if (crook > this.crook) {
      this.crook = crook;
      this.soon();
    }
    for (const bid of bids) {
      const spore = String(bid.spore);
      const sprout = Number(bid.sprout);
      const key = `${spore}#${sprout}`;
      const task = this.tasks.get(key);
      if (bid.verb === "start" && !task) this.begin(spore, sprout, key);
      else if (bid.verb === "stop" && task && task.phase !== "exited") this.exit(key, "stopped");
      else if (bid.verb === "reap" && task?.phase === "exited") this.tasks.delete(key);
    }
  }

  private begin(spore: string, sprout: number, key: string): void {
    const task: SimTask = { spore, sprout, phase: "fetching" };
    this.soon();
    if ([...this.tasks.values()].some((t) => t.spore === spore && t.phase !== "exited")) {
      this.tasks.set(key, { ...task, phase: "exited", cause: "in_use" });
      return;
    }
    this.tasks.set(key, task);
    this.events.started(this, task);
    const { bloom } = this;
    this.clock.after(700, () => this.ready(key, task, bloom));
  }

  private current(key: string, task: SimTask): boolean {
    return this.alive && this.tasks.get(key) === task && task.phase !== "exited";
  }

  private ready(key: string, task: SimTask, bloom: number): void {
    this.whenAwake(() => {
      if (!this.current(key, task) || bloom !== this.bloom) return;
      this.soon();
      const jobId = task.spore.split("/")[0]!;
      if (this.done.has(task.spore)) {
        this.exit(key, "done");
        return;
      }
      if (this.events.faulty(this, task.spore)) {
        this.exit(key, "error");
        return;
      }
      task.phase = "gathering";
      const members = this.events.gang(jobId, task.sprout);
      if (members.length < this.events.gangSize(jobId)) return;
      for (const m of members) m.w.run(m.task);
    });
  }

  private run(task: SimTask): void {
    const key = `${task.spore}#${task.sprout}`;
    task.phase = "running";
    this.soon();
    const seconds = this.events.runS(task.spore);
    if (seconds === null) return;
    this.clock.after(seconds * 1000, () =>
      this.whenAwake(() => {
        if (!this.current(key, task) || task.phase !== "running") return;
        // A gang completes together; one that has lost a member doesn't.
        const jobId = task.spore.split("/")[0]!;
        const size = this.events.gangSize(jobId);
        const members = size === 1 ? [{ w: this as SimWorker, task }] : this.events.gang(jobId, task.sprout);
        if (members.length < size) this.exit(key, "peers");
        else for (const m of members) m.w.exit(`${m.task.spore}#${m.task.sprout}`, "done");
      }),
    );
  }

  private exit(key: string, cause: string): void {
    const task = this.tasks.get(key);
    if (!task) return;
    task.phase = "exited";
    task.cause = cause;
    if (cause === "done") this.done.add(task.spore);
    this.events.ended(this, task);
    this.soon();
  }
}
