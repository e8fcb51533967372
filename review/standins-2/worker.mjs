/** A stand-in of the worker on one machine, as PROTOCOL describes it. Gangs of one task are run, larger ones are not. */
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { clearInterval, clearTimeout, setInterval, setTimeout } from "node:timers";
import { MAX_BODY_BYTES, sleep, startServer, stopServer } from "./http.mjs";

const ANSWER_MS = 4000;

export class Worker {
  /** `region` gives the jobs' descriptions, the controllers, the settings, the client and the notes. */
  constructor(machine, region) {
    Object.assign(this, { machine, region });
    this.bloom = 1;
    this.tick = 0;
    this.crook = 0;
    this.tasks = new Map();
    this.leaseFrom = performance.now();
    this.lastReportAt = -Infinity;
    this.nextReportAt = 0;
    this.isReporting = false;
    this.isGone = false;
    /** Without the network: its reports reach nobody, and commands to it get no answer. */
    this.isCut = false;
    /** The controllers that it can reach, null for all. */
    this.reaches = null;
    /** Whether commands get no answer, since those who send them can't reach it. */
    this.isOutOfReach = false;
    this.target = Math.floor(Math.random() * region.controllers.length);
  }

  async start() {
    this.server = await startServer((request) => this.serve(request));
    this.machine.address = `127.0.0.1:${this.server.port}`;
    this.timer = setInterval(() => this.check(), 50);
  }

  /** Ends the machine and all that is on it. */
  end(reason) {
    if (this.isGone) return;
    this.isGone = true;
    clearInterval(this.timer);
    this.killAll(reason);
    stopServer(this.server);
  }

  killAll(reason) {
    for (const task of this.tasks.values()) this.leave(task, reason);
    this.tasks.clear();
  }

  check() {
    const now = performance.now();
    if (now - this.leaseFrom > this.region.settings.leaseS * 1000) {
      if (this.tasks.size > 0)
        this.region.note(`${this.machine.ref}: lease over, session ${this.bloom} ends`);
      this.killAll("lease over");
      this.bloom++;
      this.leaseFrom = now;
      this.changed();
    }
    if (!this.isCut && !this.isReporting && now >= this.nextReportAt) void this.report();
  }

  changed() {
    this.nextReportAt = Math.min(this.nextReportAt, this.lastReportAt + 500);
  }

  encode() {
    const { ref, address, breed, patch, windfall } = this.machine;
    const spores = [...this.tasks.values()].map(({ spore, sprout, phase, cause }) =>
      cause ? { spore, sprout, phase, cause } : { spore, sprout, phase },
    );
    const head = { tuft: ref, address, breed, patch, windfall, bloom: this.bloom, tick: ++this.tick };
    return { ...head, crook: this.crook, warningS: null, spores };
  }

  async report() {
    const { region, bloom } = this;
    const sentAt = performance.now();
    this.isReporting = true;
    this.lastReportAt = sentAt;
    this.nextReportAt = sentAt + region.settings.reportS * 1000 * (0.75 + Math.random() / 2);
    const body = this.encode();
    const bytes = Buffer.byteLength(JSON.stringify(body));
    if (bytes > MAX_BODY_BYTES) region.note(`${this.machine.ref}: its report has ${bytes} bytes`);
    const node = region.controllers[this.target];
    const answer = await this.send(node, body);
    const names = body.spores.map(({ spore, phase }) => `${spore} ${phase}`).join(", ");
    const { status, body: { crook, steward } = {} } = { ...answer, body: answer.body ?? {} };
    region.note(
      `${body.tuft} report ${body.bloom}/${body.tick} [${names}] to ${node.name}: ${status} ${crook ?? steward ?? ""}`,
    );
    this.isReporting = false;
    if (!this.isGone) this.apply(answer, sentAt, bloom);
  }

  async send(node, body) {
    if (!this.reaches || this.reaches.includes(node))
      return this.region.workerClient.call(node.workerPort, "POST", "/checkin", {
        body,
        timeoutMs: ANSWER_MS,
      });
    await sleep(ANSWER_MS);
    return { status: 0 };
  }

  apply({ status, body }, sentAt, bloom) {
    const now = performance.now();
    if (this.isCut) return;
    if (status === 421) {
      const named = this.region.controllers.findIndex(({ name }) => name === body?.steward);
      if (named >= 0 && named !== this.target) {
        this.target = named;
        this.nextReportAt = now;
        return;
      }
    }
    if (status !== 200) {
      this.target = (this.target + 1) % this.region.controllers.length;
      this.nextReportAt = now + 1000;
      return;
    }
    if (bloom !== this.bloom || now - sentAt > ANSWER_MS) return;
    if (typeof body?.crook !== "number" || body.crook < this.crook) return;
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    this.execute(body.crook, body.bids ?? []);
  }

  serve({ method, url, body, tooLarge }) {
    if (this.isCut || this.isOutOfReach) return null;
    if (tooLarge) {
      this.region.note(`${this.machine.ref}: 413 to ${url.pathname} with ${tooLarge} bytes`);
      return null;
    }
    this.check();
    if (method === "GET") return { status: 200, body: this.encode() };
    if (typeof body?.crook !== "number" || typeof body.bloom !== "number") return { status: 400, body: {} };
    const isRefused = body.crook < this.crook || body.bloom !== this.bloom;
    const verbs = (body.bids ?? [])
      .map(({ verb, spore, sprout }) => `${verb} ${spore} (${sprout})`)
      .join(", ");
    this.region.note(
      `${this.machine.ref} commands ${body.crook}/${body.bloom} [${verbs}]: ${isRefused ? 409 : 200}`,
    );
    if (isRefused) return { status: 409, body: this.encode() };
    this.execute(body.crook, body.bids ?? []);
    return { status: 200, body: this.encode() };
  }

  execute(crook, bids) {
    if (crook > this.crook) this.changed();
    this.crook = Math.max(this.crook, crook);
    for (const { verb, spore, sprout } of bids) {
      const key = `${spore} ${sprout}`;
      if (verb === "start") this.startTask(key, spore, sprout);
      else if (verb === "stop") this.exit(this.tasks.get(key), "stopped");
      else if (this.tasks.get(key)?.phase === "exited") this.tasks.delete(key);
    }
  }

  startTask(key, spore, sprout) {
    if (this.tasks.has(key)) return;
    const job = this.region.jobs.get(spore.split("/")[0]);
    const task = { spore, sprout, job, phase: "fetching", cause: null, isOn: false };
    this.tasks.set(key, task);
    this.changed();
    const refusal = this.refusal(task);
    if (refusal) {
      this.exit(task, refusal);
      return;
    }
    task.timer = setTimeout(() => this.enter(task), job.fetchMs ?? 50);
  }

  refusal({ spore, sprout, job }) {
    if (!job) return "unknown";
    for (const other of this.tasks.values())
      if (other.phase !== "exited" && other.spore === spore && other.sprout !== sprout) return "in_use";
    return this.hasRoomFor({ cores: 0, gpus: 0, memoryGb: 0 }) ? null : "no_room";
  }

  /** Whether a task with these needs fits beside the tasks that have not exited. */
  hasRoomFor(needs) {
    const { cores, gpus, memoryGb } = this.region.breeds[this.machine.breed];
    const used = { ...needs };
    for (const { phase, job } of this.tasks.values()) {
      if (phase === "exited" || !job) continue;
      used.cores += job.body.cores;
      used.gpus += job.body.gpus;
      used.memoryGb += job.body.memoryGb;
    }
    const fits = used.cores <= cores + 1e-6 && used.gpus <= gpus + 1e-6;
    return fits && used.memoryGb <= memoryGb + 1e-6;
  }

  /** The task has its image: it is on the machine from now on. */
  enter(task) {
    if (this.isGone || task.phase !== "fetching") return;
    task.phase = "running";
    task.isOn = true;
    this.changed();
    this.region.onStart(this, task);
    if (task.job.runMs < Infinity) task.timer = setTimeout(() => this.exit(task, "done"), task.job.runMs);
  }

  leave(task, cause) {
    clearTimeout(task.timer);
    if (!task.isOn) return;
    task.isOn = false;
    this.region.onEnd(this, task, cause);
  }

  exit(task, cause) {
    if (!task || task.phase === "exited") return;
    this.leave(task, cause);
    task.phase = "exited";
    task.cause = cause;
    this.changed();
  }
}
