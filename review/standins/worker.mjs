/** A stand-in of the worker on one machine. Arrays and services only; gangs of one task behave like arrays. */
import { clearInterval, clearTimeout, setInterval, setTimeout } from "node:timers";
import { serveJson } from "./httpJson.mjs";

const FETCH_MS = 300;
const MIN_REPORT_GAP_MS = 500;
const RETRY_MS = 1000;
/** A worker drops a response that is later than this. */
const REPLY_WITHIN_MS = 4000;

export class Worker {
  constructor(machine, fleet) {
    this.machine = machine;
    this.fleet = fleet;
    this.tasks = new Map();
    this.bloom = 1;
    this.tick = 0;
    this.crook = 0;
    this.isStopped = false;
    this.isReporting = false;
    this.lastReportAt = 0;
    this.leaseFrom = Date.now();
    this.controller = Math.floor(Math.random() * fleet.options.controllers.length);
    this.hungUntil = 0;
  }

  /** The machine hangs: it executes nothing and answers nothing, and then goes on. */
  hang(ms) {
    this.hungUntil = Date.now() + ms;
  }

  get isHung() {
    return Date.now() < this.hungUntil;
  }

  /** Resolves when the machine goes on; at once if it does not hang. */
  async whenResumed() {
    while (this.isHung) await new Promise((resolve) => setTimeout(resolve, this.hungUntil - Date.now()));
  }

  async start() {
    const { server, port } = await serveJson((request) => this.serve(request));
    this.server = server;
    this.address = `127.0.0.1:${port}`;
    // The lease runs out also while the machine hangs: it may go on within its lease only.
    this.leaseTimer = setInterval(() => this.checkLease(), 100);
    this.reportIn(0);
  }

  stop() {
    this.isStopped = true;
    clearTimeout(this.timer);
    clearInterval(this.leaseTimer);
    this.endAll();
    this.server.close();
    this.server.closeAllConnections();
  }

  report() {
    const { ref, breed, patch, windfall } = this.machine;
    const spores = [...this.tasks.values()].map(({ spore, sprout, phase, cause }) =>
      cause ? { spore, sprout, phase, cause } : { spore, sprout, phase },
    );
    const head = { tuft: ref, address: this.address, breed, patch, windfall };
    return { ...head, bloom: this.bloom, tick: ++this.tick, crook: this.crook, warningS: null, spores };
  }

  reportIn(delayMs) {
    clearTimeout(this.timer);
    if (this.isStopped) return;
    this.dueAt = Date.now() + delayMs;
    this.timer = setTimeout(() => void this.sendReport(), delayMs);
  }

  changed() {
    const delayMs = Math.max(0, this.lastReportAt + MIN_REPORT_GAP_MS - Date.now());
    if (!this.isReporting && Date.now() + delayMs < this.dueAt) this.reportIn(delayMs);
    else if (this.isReporting) this.hasChanged = true;
  }

  async sendReport() {
    await this.whenResumed();
    if (this.isStopped) return;
    this.checkLease();
    this.isReporting = true;
    this.hasChanged = false;
    const sentAt = Date.now();
    const { bloom } = this;
    this.lastReportAt = sentAt;
    const { controllers, workers } = this.fleet.options;
    let reply = await this.fleet.report(controllers[this.controller].address, this.report());
    await this.whenResumed();
    if (Date.now() - sentAt > REPLY_WITHIN_MS) reply = { status: 0, body: null };
    this.isReporting = false;
    if (this.isStopped) return;
    const delayMs = this.handleReply(reply, { sentAt, bloom });
    const gapMs = Math.max(0, sentAt + MIN_REPORT_GAP_MS - Date.now());
    this.reportIn(
      this.hasChanged ? gapMs : (delayMs ?? workers.report_s * 1000 * (0.75 + Math.random() / 2)),
    );
  }

  /** Returns the delay of the next report if the reply sets one. */
  handleReply({ status, body }, { sentAt, bloom }) {
    const { controllers } = this.fleet.options;
    if (status === 421) {
      const index = controllers.findIndex(({ name }) => name === body?.steward);
      if (index >= 0 && index !== this.controller) {
        this.controller = index;
        return Math.random() * 500;
      }
    }
    if (status !== 200) {
      this.controller = (this.controller + 1) % controllers.length;
      return RETRY_MS;
    }
    this.checkLease();
    if (bloom !== this.bloom || typeof body?.crook !== "number" || body.crook < this.crook) return undefined;
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    this.execute(body.crook, body.bids ?? []);
    return undefined;
  }

  checkLease() {
    if (Date.now() - this.leaseFrom <= this.fleet.options.workers.lease_s * 1000) return;
    if (this.tasks.size > 0)
      this.fleet.options.record("lease expired", `${this.machine.ref}, ${this.tasks.size} tasks`);
    this.endAll();
    this.bloom++;
    this.leaseFrom = Date.now();
  }

  endAll() {
    for (const task of this.tasks.values()) this.leave(task);
    this.tasks.clear();
  }

  leave(task) {
    clearTimeout(task.timer);
    if (task.isOnMachine) this.fleet.taskLeft(task.spore, this.machine.ref);
    task.isOnMachine = false;
  }

  async serve({ path, body }) {
    await this.whenResumed();
    if (this.isStopped) return null;
    this.checkLease();
    if (path === "/inspect") return { status: 200, body: this.report() };
    if (typeof body?.crook !== "number" || typeof body.bloom !== "number") return { status: 400, body: {} };
    if (body.crook < this.crook || body.bloom !== this.bloom) return { status: 409, body: this.report() };
    this.execute(body.crook, body.bids ?? []);
    return { status: 200, body: this.report() };
  }

  execute(crook, bids) {
    if (crook > this.crook) {
      this.crook = crook;
      this.changed();
    }
    for (const { verb, spore, sprout } of bids) {
      const key = `${spore}#${sprout}`;
      const task = this.tasks.get(key);
      if (verb === "start" && !task) this.startTask({ key, spore, sprout, phase: "fetching" });
      else if (verb === "stop" && task && task.phase !== "exited") this.exit(task, "stopped");
      else if (verb === "reap" && task?.phase === "exited") this.tasks.delete(key);
    }
  }

  startTask(task) {
    this.tasks.set(task.key, task);
    this.changed();
    const others = [...this.tasks.values()].filter((other) => other !== task && other.phase !== "exited");
    if (others.some(({ spore }) => spore === task.spore)) {
      this.exit(task, "in_use");
      return;
    }
    task.timer = setTimeout(() => void this.runTask(task), FETCH_MS);
  }

  async runTask(task) {
    await this.whenResumed();
    if (task.phase === "exited" || !this.tasks.has(task.key)) return;
    task.isOnMachine = true;
    task.phase = "running";
    this.fleet.taskArrived(task.spore, this.machine.ref);
    this.changed();
    if (this.fleet.completed.has(task.spore)) {
      this.exit(task, "done");
      return;
    }
    const runMs = this.fleet.options.runMs(task.spore);
    if (runMs < Infinity) task.timer = setTimeout(() => void this.completeTask(task), runMs);
  }

  async completeTask(task) {
    await this.whenResumed();
    if (task.phase === "running" && this.tasks.has(task.key)) this.exit(task, "done");
  }

  exit(task, cause) {
    task.phase = "exited";
    task.cause = cause;
    if (cause === "done") this.fleet.completed.add(task.spore);
    this.leave(task);
    this.changed();
  }
}
