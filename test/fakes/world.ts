import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { encodePeerMessage, PEER_PROTOCOL_VERSION } from "../../src/protocol/peers/messages.js";
import { Controller } from "../../src/controller/controller.js";
import { operatorDefaults } from "../../src/settings/operator.js";
import type { Platform } from "../../src/settings/platform.js";
import type { HttpCaller, ClientResponse } from "../../src/transport/httpClient.js";
import { SimClock } from "./clock.js";
import { CalmWatch } from "./calmWatch.js";
import { SimCloud } from "./cloud.js";
import { SimNet } from "./net.js";
import type { SimJob } from "./job.js";
import { LIMITS, platformOf, TYPES, type Limits } from "./region.js";
import { SimState } from "./state.js";
import { SimWorker, type SimTask } from "./worker.js";

interface SimNode {
  controller: Controller;
  alive: boolean;
  /** Stands still until then, though its clocks run on. */
  thawMs: number;
  /** Links that came in, by their sender's process. */
  links: Map<string, (frame: Buffer) => string | null>;
}

export interface WorldOptions {
  /** Controllers. */
  size?: number;
  /** Each controller's zone; all in "a" unless said. */
  zones?: string[];
  /** Machines that the cloud has. */
  capacity?: number;
  limits?: Limits;
  objectives?: Platform["objectives"];
}

/** A job about which no question is answered for so long is forgotten. */
const FORGOTTEN_MS = 75_000;
/** After a trouble's end, this much is allowed until everything is as before. */
const SETTLE_MS = 10_000;

/** A link's frames come in their order, the greeting first. */
function deliver(to: SimNode, life: string, from: string, frame: Buffer): void {
  let link = to.links.get(life);
  if (!link) {
    link = to.controller.acceptPeerLink();
    link(encodePeerMessage({ kind: "hello", from, version: PEER_PROTOCOL_VERSION }));
    to.links.set(life, link);
  }
  const reason = link(frame);
  if (reason !== null) throw new Error(`${from} was refused: ${reason}`);
}

/** A whole region on a simulated clock, with every rule of the protocol watched. */
export class World {
  readonly clock = new SimClock();
  readonly net: SimNet;
  readonly state: SimState;
  readonly cloud: SimCloud;
  readonly workers = new Map<string, SimWorker>();
  readonly jobs = new Map<string, SimJob>();
  readonly broken: string[] = [];
  readonly faultyMachines = new Set<string>();
  /** Was that task submitted with a mistake? It fails on every machine. */
  failing: (spore: string) => boolean = () => false;
  started = 0;
  private closing = false;
  readonly names: string[];
  private readonly nodes = new Map<string, SimNode>();
  private lives = 0;
  readonly random: () => number;

  private readonly limits: Limits;
  /** Sees each report that a controller gets. */
  onReport: (body: unknown) => void = () => undefined;
  /** Until then controllers have no links to each other: what they would send is lost. */
  noLinksUntilMs = 0;
  /** Is that a machine of the zone, also one that boots later, or one of these hosts beside them? */
  inZone(patch: string, ...hosts: string[]): (host: string) => boolean {
    return (h) =>
      hosts.includes(h) ||
      [...this.workers.values()].some((x) => x.tuft.patch === patch && x.tuft.address === h);
  }

  /** From here on nothing goes wrong any more. */
  calmFromMs = 0;

  /** A trouble that may last beyond the others: calm comes no sooner than a while after it. */
  troubledFor(forMs: number): void {
    this.calmFromMs = Math.max(this.calmFromMs, this.clock.nowMs() + forMs + SETTLE_MS);
  }
  private readonly unanswered = new Map<string, number>();

  constructor(
    seed: number,
    private readonly options: WorldOptions = {},
  ) {
    this.limits = options.limits ?? LIMITS;
    this.names = Array.from({ length: options.size ?? 3 }, (_, i) => `n${i}`);
    const rng = xoroshiro128plus(seed);
    this.random = () => (rng.next() >>> 0) / 2 ** 32;
    this.net = new SimNet(this.clock, this.random);
    this.state = new SimState(this.clock, this.net, this.random, "state:1");
    this.cloud = new SimCloud(
      this.clock,
      this.net,
      "cloud:1",
      TYPES,
      3000,
      (tuft) => {
        this.workers.set(
          tuft.ref,
          new SimWorker(
            tuft,
            this.clock,
            this.net,
            this.names.map((n) => ({ name: n, address: `${n}:80` })),
            { reportS: 1, leaseS: 8 },
            {
              runS: (spore) => {
                const [id, task] = spore.split("/");
                const job = this.jobs.get(id!);
                if (!job || job.runS === null) return null;
                return job.runS + job.stepS * Number(task);
              },
              gangSize: (id) => {
                const spec = this.jobs.get(id)?.spec;
                return spec?.form === "ensemble" ? spec.spores : 1;
              },
              started: (w, task) => this.onStart(w, task),
              ended: (_w, task) => this.onEnd(task),
              gang: (id, sprout) => this.gang(id, sprout),
              faulty: (w, spore) => this.faultyMachines.has(w.tuft.ref) || this.failing(spore),
            },
            this.random,
          ),
        );
      },
      (t) => {
        this.workers.get(t.ref)?.kill();
        this.workers.delete(t.ref);
      },
      this.random,
    );
    this.cloud.capacity = options.capacity ?? 12;
    for (const name of this.names) this.boot(name);
    new CalmWatch(this, this.limits).start();
  }

  /** That worker's reports get no answer anywhere, though commands reach it. */
  ignoreReports(ref: string, forMs: number): void {
    this.unanswered.set(ref, this.clock.nowMs() + forMs);
  }

  get leader(): string | null {
    const hold = this.state.keys.get("lead/hold")?.data as { node: string } | undefined;
    return hold?.node ?? null;
  }

  private boot(name: string): void {
    const incarnation = `life-${++this.lives}`;
    const node: SimNode = {
      alive: true,
      thawMs: 0,
      controller: null as unknown as Controller,
      links: new Map(),
    };
    const call = this.net.caller(`${name}:80`, () => node.alive);
    const thawed = (run: () => void): void => this.whenThawed(node, run);
    const caller: HttpCaller = {
      call: (...q) =>
        new Promise((resolve, reject) => {
          call.call(...q).then(
            (r) => thawed(() => resolve(r)),
            (e: Error) => thawed(() => reject(e)),
          );
        }),
    };
    node.controller = new Controller(
      {
        ...platformOf(name, this.names, this.limits, this.options.zones),
        objectives: this.options.objectives ?? [],
      },
      operatorDefaults,
      {
        clock: {
          nowMs: () => this.clock.nowMs(),
          wallTime: () => this.clock.wallTime(),
          after: (delayMs, run) => {
            let cancelled = false;
            const timer = this.clock.after(delayMs, () => thawed(() => !cancelled && run()));
            return {
              cancel: () => {
                cancelled = true;
                timer.cancel();
              },
            };
          },
        },
        stateStoreHttp: caller,
        cloudHttp: caller,
        workerHttp: caller,
        peerPort: {
          send: (peer, payload) => {
            if (!node.alive || this.clock.nowMs() < this.noLinksUntilMs) return false;
            const copy = Buffer.from(payload);
            this.net.carry(`${name}:80`, `${peer}:80`, () => {
              const other = this.nodes.get(peer);
              if (other) this.whenThawed(other, () => other.alive && deliver(other, incarnation, name, copy));
            });
            return true;
          },
        },
        incarnation,
        random: this.random,
      },
    );
    this.nodes.set(name, node);
    this.net.listen(`${name}:80`, (q, answer) => {
      if (!node.alive) return;
      const tuft = (q.body as { tuft?: string } | undefined)?.tuft;
      if (q.path === "/checkin" && (this.unanswered.get(tuft ?? "") ?? 0) > this.clock.nowMs()) return;
      if (q.path === "/checkin") this.onReport(q.body);
      const body = Buffer.from(q.body === undefined ? "" : JSON.stringify(q.body));
      thawed(() => {
        if (!node.alive) return;
        node.controller.handleRequest({ method: q.method, path: q.path, body }, (a) => {
          if (node.alive) answer({ status: a.status, body: a.body });
        });
      });
    });
    node.controller.start();
  }

  crash(name: string, backMs: number): void {
    const node = this.nodes.get(name);
    if (!node?.alive) return;
    node.alive = false;
    node.controller.stop();
    this.net.gone(`${name}:80`);
    this.refuse(name);
    this.clock.after(backMs, () => this.boot(name));
  }

  /** It stands still while its clocks run on; whatever comes meanwhile it finds when it wakes, in no special order. */
  freeze(name: string, forMs: number): void {
    const node = this.nodes.get(name);
    if (node?.alive) node.thawMs = this.clock.nowMs() + forMs;
  }

  private whenThawed(node: SimNode, run: () => void): void {
    const waitMs = node.thawMs - this.clock.nowMs();
    if (waitMs > 0) this.clock.after(waitMs, () => this.whenThawed(node, run));
    else run();
  }

  /** The others see connections to it refused, rightly or not; so many links to others stand, or to all that live. */
  refuse(name: string, linksStanding?: number): void {
    for (const [other, node] of this.nodes) {
      if (other === name) continue;
      this.net.carry(`${name}:80`, `${other}:80`, () => {
        if (!node.alive) return;
        const living = this.names.filter((n) => n !== other && n !== name && this.nodes.get(n)!.alive);
        node.controller.onPeerRefused(name, linksStanding ?? living.length);
      });
    }
  }

  /** Until the last trouble is over, if that is still to come. */
  async runUntilCalm(): Promise<void> {
    await this.run(Math.max(0, this.calmFromMs - this.clock.nowMs()) / 1000);
  }

  async run(seconds: number): Promise<void> {
    await this.clock.advance(seconds * 1000);
  }

  /** The process that stands for that controller at present. */
  controllerOf(name: string): Controller {
    return this.nodes.get(name)!.controller;
  }

  /** A link that comes in at that node, from wherever. */
  link(name: string): (frame: Buffer) => string | null {
    return this.nodes.get(name)!.controller.acceptPeerLink();
  }

  /** As a user, at a node that is up, or at this one. */
  ask(method: string, path: string, body?: unknown, at?: string): Promise<ClientResponse> {
    const up = this.names.filter((n) => this.nodes.get(n)!.alive);
    const node = at ?? up[Math.floor(this.random() * up.length)] ?? "n0";
    return this.net.caller("user:1", () => true).call(`${node}:80`, method, path, body, 5000);
  }

  submit(fields: Partial<SimJob["spec"]> & { ref: string }, runS: number | null): SimJob {
    const spec = {
      strain: "s",
      crew: "one",
      form: "array",
      rank: "standard",
      spores: 1,
      cores: 2,
      gpus: 0,
      memoryGb: 4,
      seedstock: "img",
      pullGb: 1,
      together: false,
      scatter: false,
      windfall: true,
      guessS: runS ?? 0,
      cairnS: 0,
      stashS: 0,
      ...fields,
    } as SimJob["spec"];
    const job: SimJob = {
      spec,
      runS,
      stepS: 0,
      askedMs: this.clock.nowMs(),
      accepted: false,
      told: null,
      toldMs: Infinity,
      cancelAsked: false,
      done: new Set(),
      answeredMs: this.clock.nowMs(),
      beganMs: null,
      waitsSinceMs: null,
    };
    this.jobs.set(spec.ref, job);
    const attempt = (): void => {
      const sentMs = this.clock.nowMs();
      this.ask("POST", "/v1/jobs", spec).then(
        (r) => {
          if (r.status === 201 || r.status === 200) {
            job.accepted = true;
            this.hear(job, r, sentMs);
            this.poll(job);
            if (this.closing && spec.form === "standing") this.cancel(job);
          } else if (r.status === 400 || r.status === 422) {
            if (job.accepted) this.broken.push(`forgotten ${spec.ref}: ${r.status}`);
          } else this.clock.after(1000, attempt);
        },
        () => this.clock.after(1000, attempt),
      );
    };
    attempt();
    return job;
  }

  /** At any controller, or that one. */
  cancel(job: SimJob, at?: string): void {
    job.cancelAsked = true;
    const attempt = (): void => {
      const sentMs = this.clock.nowMs();
      this.ask("POST", `/v1/jobs/${job.spec.ref}/cancel`, undefined, at).then(
        (r) => {
          if (r.status === 200) this.hear(job, r, sentMs);
          else this.clock.after(1000, attempt);
        },
        () => this.clock.after(1000, attempt),
      );
    };
    attempt();
  }

  /** What would run until it is cancelled is called off now. */
  cancelEndless(): void {
    for (const job of this.jobs.values())
      if (job.runS === null && job.accepted && !job.cancelAsked) this.cancel(job);
  }

  /** Once more as it was submitted: whatever became of it, the answer says so. */
  repeat(job: SimJob): void {
    const sentMs = this.clock.nowMs();
    this.ask("POST", "/v1/jobs", job.spec).then(
      (r) => {
        if (r.status === 400 || r.status === 422) this.broken.push(`forgotten ${job.spec.ref}: ${r.status}`);
        if (r.status === 201 && job.accepted) this.broken.push(`forgotten ${job.spec.ref}: accepted anew`);
        if (r.status === 200) this.hear(job, r, sentMs);
      },
      () => undefined,
    );
  }

  /** A question besides the ordinary ones. */
  question(job: SimJob): void {
    const sentMs = this.clock.nowMs();
    this.ask("GET", `/v1/jobs/${job.spec.ref}`).then(
      (r) => {
        if (r.status === 404 && job.accepted) this.broken.push(`forgotten ${job.spec.ref}`);
        if (r.status === 200) this.hear(job, r, sentMs);
      },
      () => undefined,
    );
  }

  /** It must be answered like that, unless it can't be decided at the moment. */
  refused(status: 400 | 422, body: unknown): void {
    this.ask("POST", "/v1/jobs", body).then(
      (r) => {
        if (r.status !== status && r.status < 429)
          this.broken.push(`accepted: ${r.status} instead of ${status} for ${JSON.stringify(body)}`);
      },
      () => undefined,
    );
  }

  /** Sees each task that ends, before anybody is told. */
  onTaskEnd: (job: SimJob, task: SimTask) => void = () => undefined;
  /** Sees each task that starts. */
  onTaskStart: (w: SimWorker, task: SimTask) => void = () => undefined;
  /** Counts submissions that must be refused. */
  oddRefs = 0;

  private poll(job: SimJob): void {
    this.clock.after(2500, () => {
      const sentMs = this.clock.nowMs();
      this.ask("GET", `/v1/jobs/${job.spec.ref}`).then(
        (r) => {
          if (r.status === 404) this.broken.push(`forgotten ${job.spec.ref}`);
          if (r.status === 200) {
            job.answeredMs = this.clock.nowMs();
            this.hear(job, r, sentMs);
          }
          this.again(job);
        },
        () => this.again(job),
      );
    });
  }

  /** Each job for itself: that others are answered is no excuse. */
  private again(job: SimJob): void {
    const now = this.clock.nowMs();
    if (now - Math.max(job.answeredMs, this.calmFromMs) > FORGOTTEN_MS) {
      this.broken.push(`forgotten ${job.spec.ref}: no question answered since ${job.answeredMs}`);
      job.answeredMs = now;
    }
    this.poll(job);
  }

  private hear(job: SimJob, r: ClientResponse, sentMs: number): void {
    const { phase } = r.body as { phase: string };
    // Asked before it was told, and only come in after: no older answer than that.
    if (sentMs < job.toldMs && job.told !== null && phase !== job.told) return;
    if (job.told !== null && phase !== job.told)
      this.broken.push(`went_back ${job.spec.ref}: ${job.told} ${phase}`);
    if (phase === "withdrawn" && !job.cancelAsked)
      this.broken.push(`went_back ${job.spec.ref}: nobody cancelled`);
    if (phase === "done" && job.done.size < job.spec.spores) this.broken.push(`not_done ${job.spec.ref}`);
    if ((phase === "done" || phase === "withdrawn") && job.told === null) {
      job.told = phase;
      job.toldMs = this.clock.nowMs();
      if (phase === "withdrawn") {
        this.clock.after(25_000, () => {
          if (this.live(job.spec.ref).length > 0) this.broken.push(`ran_cancelled ${job.spec.ref}`);
        });
      }
    }
  }

  live(ref: string): { w: SimWorker; task: SimTask }[] {
    const out = [];
    for (const worker of this.workers.values()) {
      for (const task of worker.tasks.values()) {
        if (task.phase !== "exited" && task.spore.startsWith(`${ref}/`)) out.push({ w: worker, task });
      }
    }
    return out;
  }

  private gang(id: string, sprout: number): { w: SimWorker; task: SimTask }[] {
    return this.live(id).filter((x) => x.task.sprout === sprout && x.task.phase !== "fetching");
  }

  private onEnd(task: SimTask): void {
    const job = this.jobs.get(task.spore.split("/")[0]!);
    if (!job) return;
    if (task.cause === "done") job.done.add(task.spore);
    this.onTaskEnd(job, task);
  }

  private onStart(worker: SimWorker, task: SimTask): void {
    this.started++;
    this.onTaskStart(worker, task);
    const ref = task.spore.split("/")[0]!;
    const job = this.jobs.get(ref);
    if (!job) {
      this.broken.push(`invented start ${task.spore}`);
      return;
    }
    job.beganMs ??= this.clock.nowMs();
    const { spec } = job;
    const others = this.live(ref).filter((x) => x.task !== task);
    if (others.some((x) => x.task.spore === task.spore)) this.broken.push(`ran_twice ${task.spore}`);
    if (job.told === "withdrawn" && this.clock.nowMs() - job.toldMs > 25_000)
      this.broken.push(`ran_cancelled ${ref}`);
    const { breed, patch, windfall } = worker.tuft;
    const breeds = spec.breeds as string[] | null | undefined;
    const wrong =
      (breeds && !breeds.includes(breed)) ||
      (spec.patch && spec.patch !== patch) ||
      (windfall && spec.windfall !== true) ||
      (spec.together && others.some((x) => x.w.tuft.patch !== patch)) ||
      (spec.scatter &&
        others.filter((x) => x.w.tuft.patch === patch).length + 1 > Math.ceil(spec.spores / 2));
    if (wrong) this.broken.push(`wrong_place ${task.spore} on ${breed} ${patch}`);
    const use = { cpus: 0, gpus: 0 };
    for (const other of this.jobs.values()) {
      if (other.spec.crew !== spec.crew) continue;
      const n = this.live(other.spec.ref).length;
      use.cpus += n * other.spec.cores;
      use.gpus += n * Number(other.spec.gpus);
    }
    const limit = this.limits[spec.crew as "one" | "two"];
    if (use.cpus > limit.cpus || use.gpus > limit.gpus)
      this.broken.push(`quota ${spec.crew}: ${JSON.stringify(use)}`);
  }

  /** Submits a mixed day's work over the next `seconds`. */
  async mixedWork(seconds: number): Promise<void> {
    const made: SimJob[] = [];
    const until = this.clock.nowMs() + seconds * 1000;
    let n = this.jobs.size;
    while (this.clock.nowMs() < until) {
      const ref = `job-${String(n++).padStart(6, "0")}`;
      const kind = this.random();
      const crew = this.random() < 0.5 ? "one" : "two";
      if (kind < 0.3) {
        const spores = 1 + Math.floor(this.random() * 3);
        const fields = {
          ref,
          crew,
          form: "standing",
          rank: "prod",
          spores,
          cores: 1,
          windfall: false,
          scatter: true,
        };
        made.push(this.submit(fields, null));
      } else if (kind < 0.75) {
        const spores = 1 + Math.floor(this.random() * 8);
        made.push(this.submit({ ref, crew, spores, together: this.random() < 0.2 }, 1 + this.random() * 6));
      } else {
        const spores = 1 + Math.floor(this.random() * 2);
        const fields = {
          ref,
          crew,
          form: "ensemble",
          spores,
          gpus: 1,
          together: true,
          rank: "high",
          cairnS: 2,
          stashS: 1,
        };
        made.push(this.submit(fields, 2 + this.random() * 6));
      }
      if (this.random() < 0.5 && made.length > 2) {
        const job = made[Math.floor(this.random() * made.length)]!;
        if (job.accepted && !job.cancelAsked) this.cancel(job);
      }
      await this.run(0.5 + this.random() * 2.5);
    }
    this.closing = true;
    for (const job of made)
      if (job.spec.form === "standing" && job.accepted && !job.cancelAsked) this.cancel(job);
  }

  unfinished(): string[] {
    return [...this.jobs.values()].filter((j) => j.accepted && j.told === null).map((j) => j.spec.ref);
  }
}
