/** A stand-in of the cloud's interface as PROTOCOL describes it. Each controller has a port of its own. */
import { performance } from "node:perf_hooks";
import { setTimeout } from "node:timers";
import { sleep, startServer, stopServer } from "./http.mjs";

const TROUBLE = { status: 503, body: { error: "trouble" } };

export class Cloud {
  /** `boot` starts the worker of a machine, `take` ends it; `capacity(breed, patch, windfall)` is what may be rented. */
  constructor({ breeds, bootMs, boot, take, note, capacity = () => Infinity, lagMs = 500 }) {
    Object.assign(this, { breeds, bootMs, boot, take, note, capacity, lagMs });
    this.machines = new Map();
    this.pleas = new Map();
    this.lastMachine = 0;
    this.isDown = false;
    /** Names of controllers that can't reach the cloud: they get no answer. */
    this.silentTo = new Set();
    this.ports = new Map();
    this.servers = [];
    /** Called before a machine is deleted, with the controller that asked and the machine. */
    this.onDelete = () => undefined;
  }

  async start(nodes) {
    for (const node of nodes) {
      const started = await startServer((request) => this.serve(node, request));
      this.servers.push(started);
      this.ports.set(node, started.port);
    }
  }

  stop() {
    for (const server of this.servers) stopServer(server);
    for (const machine of this.machines.values()) this.take(machine);
  }

  async serve(node, { method, url, body }) {
    await sleep(20);
    if (this.silentTo.has(node)) return null;
    if (this.isDown) return TROUBLE;
    if (url.pathname === "/flavors")
      return {
        status: 200,
        body: { breeds: Object.entries(this.breeds).map(([name, breed]) => ({ name, ...breed })) },
      };
    if (url.pathname === "/machines/delete") return this.remove(node, body.tufts);
    if (url.pathname === "/machines" && method === "POST") return this.rent(node, body);
    if (url.pathname === "/machines") return this.list(url.searchParams);
    return { status: 404, body: {} };
  }

  rent(node, { plea, breed, patch, windfall, howMany }) {
    const known = this.pleas.get(plea);
    if (known) return { status: 200, body: { tufts: known } };
    const same = [...this.machines.values()].filter(
      (other) => other.breed === breed && other.patch === patch && other.windfall === windfall,
    );
    const count = Math.min(howMany, 50, this.capacity(breed, patch, windfall) - same.length);
    if (count <= 0) return { status: 503, body: { error: "no capacity" } };
    const tufts = [];
    for (let i = 0; i < count; i++) {
      const ref = `host-${String(++this.lastMachine).padStart(6, "0")}`;
      const machine = {
        ref,
        address: "",
        breed,
        patch,
        windfall,
        phase: "starting",
        since: performance.now(),
      };
      this.machines.set(ref, machine);
      tufts.push(ref);
      setTimeout(() => this.bootUp(machine), this.bootMs * (0.6 + Math.random() * 0.9));
    }
    this.pleas.set(plea, tufts);
    this.note(`cloud: ${node} rents ${count} ${breed} in ${patch}${windfall ? " (spot)" : ""}, ${plea}`);
    return { status: 200, body: { tufts } };
  }

  async bootUp(machine) {
    if (this.machines.get(machine.ref) !== machine) return;
    await this.boot(machine);
    machine.phase = "running";
  }

  remove(node, tufts) {
    for (const ref of tufts) {
      const machine = this.machines.get(ref);
      if (!machine) continue;
      this.onDelete(node, machine);
      this.machines.delete(ref);
      this.take(machine);
      this.note(`cloud: ${node} deletes ${ref}`);
    }
    return { status: 200, body: {} };
  }

  list(query) {
    const after = query.get("after") ?? "";
    const limit = Math.min(500, Number(query.get("limit") ?? 500));
    const now = performance.now();
    const seen = [...this.machines.values()].filter(
      ({ ref, since }) => ref > after && now - since > this.lagMs,
    );
    const page = seen.slice(0, limit).map(({ ref, address, breed, patch, windfall, phase, since }) => ({
      ...{ ref, address, breed, patch, windfall, phase },
      ageS: (now - since) / 1000,
    }));
    return { status: 200, body: { tufts: page, more: seen.length > limit } };
  }
}
