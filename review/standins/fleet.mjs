/** Stand-ins of the cloud and of the workers on its machines, which follow the published protocol. */
import http from "node:http";
import { setTimeout } from "node:timers";
import { callJson, serveJson } from "./httpJson.mjs";
import { Worker } from "./worker.mjs";

const OK = (body) => ({ status: 200, body });

/**
 * Options: `flavors` as in GET /flavors; `capacity(breed, patch, windfall)` is how many such machines may exist at once;
 * `bootMs(breed)`; `listLagMs`; `workers`: the settings; `controllers`: `{ name, address }`; `runMs(spore)`: a task's run
 * time, Infinity for a replica; `record(kind, detail)`;
 * `recordRun(text)`.
 */
export class Fleet {
  constructor(options) {
    this.options = options;
    this.machines = new Map();
    this.pleas = new Map();
    this.lastNumber = 0;
    this.agent = new http.Agent({ keepAlive: true });
    /** Every task now on a machine, by name: the set of the machines. For the rules that an observer can check. */
    this.tasksOn = new Map();
    this.starts = [];
    this.completed = new Set();
  }

  async start() {
    const { server, port } = await serveJson((request) => this.serve(request));
    this.server = server;
    this.address = `127.0.0.1:${port}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
    for (const machine of this.machines.values()) machine.worker?.stop();
    this.agent.destroy();
  }

  serve({ method, path, query, body }) {
    if (path === "/flavors") return OK({ breeds: this.options.flavors });
    if (path === "/machines/delete") return this.remove(body.tufts);
    if (path === "/machines" && method === "POST") return this.rent(body);
    if (path === "/machines") return this.list(query);
    return { status: 400, body: {} };
  }

  rent({ plea, breed, patch, windfall, howMany }) {
    const known = this.pleas.get(plea);
    if (known) return OK({ tufts: known });
    const flavor = this.options.flavors.find(({ name }) => name === breed);
    if (!flavor?.patches.includes(patch) || howMany > 50)
      return { status: 400, body: { error: "malformed" } };
    const existing = [...this.machines.values()].filter(
      (machine) => machine.breed === breed && machine.patch === patch && machine.windfall === windfall,
    );
    const free = this.options.capacity(breed, patch, windfall) - existing.length;
    const count = Math.min(howMany, free);
    if (count <= 0) {
      this.options.record("cloud refused a rental", `no capacity for ${breed} in ${patch}`);
      return { status: 503, body: { error: "no capacity" } };
    }
    const tufts = [];
    for (let i = 0; i < count; i++) tufts.push(this.create({ breed, patch, windfall }));
    this.pleas.set(plea, tufts);
    this.options.record("cloud rented", `${count} ${breed} in ${patch}`);
    return OK({ tufts });
  }

  create(kind) {
    const ref = `host-${String(++this.lastNumber).padStart(6, "0")}`;
    const machine = { ref, ...kind, createdAt: Date.now(), worker: null };
    this.machines.set(ref, machine);
    setTimeout(() => void this.boot(machine), this.options.bootMs(kind.breed)).unref();
    return ref;
  }

  async boot(machine) {
    if (!this.machines.has(machine.ref)) return;
    const worker = new Worker(machine, this);
    await worker.start();
    if (this.machines.has(machine.ref)) machine.worker = worker;
    else worker.stop();
  }

  remove(refs) {
    for (const ref of refs) {
      this.machines.get(ref)?.worker?.stop();
      this.machines.delete(ref);
    }
    return OK({});
  }

  list(query) {
    const after = query.get("after") ?? "";
    const limit = Math.min(500, Number(query.get("limit") ?? 500));
    const now = Date.now();
    const listed = [...this.machines.values()].filter(
      ({ ref, createdAt }) => ref > after && now - createdAt > this.options.listLagMs,
    );
    const tufts = listed.slice(0, limit).map(({ ref, breed, patch, windfall, createdAt, worker }) => {
      const phase = worker ? "running" : "starting";
      const ageS = (now - createdAt) / 1000;
      return { ref, address: worker?.address ?? "", breed, patch, windfall, phase, ageS };
    });
    return OK({ tufts, more: listed.length > limit });
  }

  /** Called by a worker when a task is on its machine (it has its image), and when it is gone. */
  taskArrived(spore, ref) {
    const machines = this.tasksOn.get(spore) ?? new Set();
    this.tasksOn.set(spore, machines.add(ref));
    this.starts.push({ at: Date.now(), spore, ref });
    this.options.recordRun(`${spore} runs on ${ref}`);
  }

  taskLeft(spore, ref) {
    this.options.recordRun(`${spore} has left ${ref}${this.completed.has(spore) ? ", completed" : ""}`);
    this.tasksOn.get(spore)?.delete(ref);
  }

  /** Number of machines that are up and have at most `tasks` tasks on them that have not exited. */
  machinesWithAtMost(tasks) {
    let count = 0;
    for (const { worker } of this.machines.values())
      if (worker && [...worker.tasks.values()].filter(({ phase }) => phase !== "exited").length <= tasks)
        count++;
    return count;
  }

  /** Number of the job's tasks that are on machines now. */
  running(job) {
    let count = 0;
    for (const [spore, machines] of this.tasksOn) if (spore.startsWith(`${job}/`)) count += machines.size;
    return count;
  }

  report(address, body) {
    return callJson(address, { method: "POST", path: "/checkin", body, timeoutMs: 4000, agent: this.agent });
  }
}
