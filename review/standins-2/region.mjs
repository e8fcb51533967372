/**
 * A small deployment on loopback addresses: the project's controllers as processes of their own, started with the command
 * of the deploy file, and the stand-ins of the state service, the cloud, the workers and the users.
 */
import { spawn } from "node:child_process";
import fs from "node:fs";
import net from "node:net";
import os from "node:os";
import path from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { setTimeout } from "node:timers";
import { fileURLToPath } from "node:url";
import { Cloud } from "./cloud.mjs";
import { Client, HOST, sleep } from "./http.mjs";
import { StateService } from "./state.mjs";
import { Worker } from "./worker.mjs";

export { sleep };

/** A case that takes longer than this ends with the exit code 2. */
const LIMIT_S = 118;

const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "../..");

/** The limits of the site mrws-collect-sched (kit/sites), which a case may override. */
export const SMALL_SITE = {
  nodes: 3,
  nodeZones: ["caboolture"],
  zones: ["caboolture", "redcliffe"],
  reportS: 2,
  leaseS: 14,
  cancelS: 39,
  rps: 120,
  writeRps: 25,
  valueKb: 8,
  txnOps: 20,
  cloudRps: 5,
  clockMs: 100,
  listLagS: 8,
  teams: [
    { name: "calendars", cpus: 48, cpusMax: 136, gpus: 2, gpusMax: 6 },
    { name: "routing", cpus: 56, cpusMax: 224, gpus: 2, gpusMax: 8 },
    { name: "fleet-data", cpus: 112, cpusMax: 264, gpus: 8, gpusMax: 16 },
    { name: "council-analytics", cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 },
  ],
};

const BOTH = ["caboolture", "redcliffe"];

/** Machine types of mrws-collect-sched. */
export const MRWS_BREEDS = {
  wheelie: breed({ cores: 4, memoryGb: 32, price: 0.24, lowPrice: 0.06, bootS: 50, patches: BOTH }),
  kerbside: breed({ cores: 8, memoryGb: 32, price: 0.46, lowPrice: 0.11, bootS: 25, patches: BOTH }),
  compactor: breed({
    cores: 64,
    memoryGb: 512,
    price: 4.15,
    lowPrice: 1.07,
    bootS: 35,
    patches: ["caboolture"],
  }),
};

/** A machine type with the fields of the cloud's interface. */
export function breed(fields) {
  return { gpus: 0, cacheGb: 70, fetchGbPerS: 20, ...fields };
}

function canListen(port) {
  return new Promise((resolve) => {
    const probe = net.createServer();
    probe.once("error", () => resolve(false));
    probe.listen(port, HOST, () => probe.close(() => resolve(true)));
  });
}

/** A free port below the range from which the system takes the ports of outgoing connections. */
async function freePort() {
  for (;;) {
    const port = 12_000 + Math.floor(Math.random() * 20_000);
    if (await canListen(port)) return port;
  }
}

function runCommand() {
  const text = fs.readFileSync(path.join(ROOT, "deploy/service.toml"), "utf8");
  const [program, ...args] = /^run *= *"(.*)"$/m.exec(text)[1].split(" ");
  return { program: program === "node" ? process.execPath : program, args };
}

export class Region {
  /** `folder` is the case's folder, where record.txt is written. */
  constructor(folder, { settings = {}, breeds = MRWS_BREEDS, bootMs = 1000, capacity } = {}) {
    this.settings = { ...SMALL_SITE, ...settings };
    this.breeds = breeds;
    this.startedAt = performance.now();
    this.recordFile = fs.openSync(path.join(folder, "record.txt"), "w");
    this.temporary = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
    this.note = (text) => this.write(text);
    this.jobs = new Map();
    this.workers = new Map();
    this.controllers = [];
    this.endWithProcess();
    this.client = new Client(200);
    this.workerClient = new Client(400);
    this.onStart = (worker, task) => this.write(`${task.spore} (${task.sprout}) on ${worker.machine.ref}`);
    this.onEnd = (worker, task, cause) =>
      this.write(`${task.spore} (${task.sprout}) off ${worker.machine.ref}: ${cause}`);
    const { rps, writeRps, valueKb, txnOps } = this.settings;
    this.state = new StateService({ rps, writeRps, valueKb, txnOps, note: this.note });
    this.cloud = new Cloud({
      breeds,
      bootMs,
      capacity,
      boot: (machine) => this.boot(machine),
      take: (machine) => this.take(machine),
      lagMs: this.settings.listLagS * 1000,
      note: this.note,
    });
  }

  /** Ends the controllers with this process, whatever ends it, and this process after the time limit. */
  endWithProcess() {
    process.on("exit", () => {
      for (const { child } of this.controllers) child?.kill("SIGKILL");
      fs.rmSync(this.temporary, { recursive: true, force: true });
    });
    for (const name of ["SIGTERM", "SIGINT"]) process.on(name, () => process.exit(2));
    setTimeout(() => {
      this.write("could not run: out of time");
      process.exit(2);
    }, LIMIT_S * 1000).unref();
  }

  seconds() {
    return (performance.now() - this.startedAt) / 1000;
  }

  write(text) {
    fs.writeSync(this.recordFile, `${this.seconds().toFixed(2).padStart(7)} ${text}\n`);
  }

  async boot(machine) {
    const worker = new Worker(machine, this);
    await worker.start();
    this.workers.set(machine.ref, worker);
  }

  take(machine) {
    this.workers.get(machine.ref)?.end("machine gone");
    this.workers.delete(machine.ref);
  }

  async start() {
    const { nodes, nodeZones } = this.settings;
    const names = Array.from({ length: nodes }, (_, index) => `tuft-${index}`);
    await this.state.start(names);
    await this.cloud.start(names);
    for (const [index, name] of names.entries()) {
      const port = await freePort();
      const peerPort = await freePort();
      const zone = nodeZones[index % nodeZones.length];
      this.controllers.push({ name, zone, port, workerPort: port, peerPort, peerPorts: {}, child: null });
    }
    await this.beforeLaunch?.();
    for (const node of this.controllers) this.launch(node);
  }

  /** The settings file of a controller; `peerPorts` may lead its links to others through a proxy. */
  settingsOf({ name, zone, port, peerPort, peerPorts }) {
    const { settings, controllers } = this;
    const peers = controllers
      .filter((other) => other.name !== name)
      .map(
        (other) =>
          `[[peers]]\nnode_name = "${other.name}"\nzone = "${other.zone}"\naddress = "${HOST}:${peerPorts[other.name] ?? other.peerPort}"\n`,
      );
    const teams = settings.teams.map(
      (team) =>
        `[[cluster.teams]]\nname = "${team.name}"\ncpus = ${team.cpus}.0\ncpus_max = ${team.cpusMax}.0\ngpus = ${team.gpus}.0\ngpus_max = ${team.gpusMax}.0\n`,
    );
    return [
      `node_name = "${name}"\nzone = "${zone}"\nserve_on = "${HOST}:${port}"\ncluster_listen = "${HOST}:${peerPort}"\n`,
      ...peers,
      `[endpoints]\ncloud = "${HOST}:${this.cloud.ports.get(name)}"\nstate = "${HOST}:${this.state.ports.get(name)}"\n`,
      `[cluster]\nsize = ${settings.nodes}\nzones = ${JSON.stringify(settings.zones)}\nclock_error_ms = ${settings.clockMs}\n`,
      ...teams,
      `[cluster.workers]\nreport_s = ${settings.reportS}\nlease_s = ${settings.leaseS}\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = ${settings.cancelS}\n`,
      `[cluster.state]\nrps = ${settings.rps}\nwrite_rps = ${settings.writeRps}\nvalue_kb = ${settings.valueKb}\ntxn_ops = ${settings.txnOps}\n`,
      `[cluster.cloud]\nrps = ${settings.cloudRps}\nlist_lag_s = ${settings.listLagS}\n`,
      `[cluster.machine_limits]\ncpu = 0.17\nmem_mb = 178.0\nmax_connections = 1200\n`,
    ].join("\n");
  }

  launch(node) {
    const file = path.join(this.temporary, `${node.name}.toml`);
    fs.writeFileSync(file, this.settingsOf(node));
    const { program, args } = runCommand();
    const child = spawn(program, [...args, file], { cwd: ROOT, stdio: ["ignore", "ignore", "pipe"] });
    child.stderr.on("data", (chunk) => this.noteLog(node, chunk.toString()));
    child.on("exit", (code, signal) => this.write(`${node.name} ended: ${signal ?? code}`));
    node.child = child;
    node.since = performance.now();
    this.write(`${node.name} started, process ${child.pid}`);
  }

  noteLog(node, text) {
    for (const line of text.trimEnd().split("\n")) {
      if (line.includes("became leader")) this.leader = node;
      if (this.isLogNoted?.(line) ?? /leader|error|quarantin|link from/.test(line))
        this.write(`  ${node.name}: ${line.slice(0, 300)}`);
    }
  }

  /** Sends a signal to a controller's process, by its id. */
  signal(node, name) {
    this.write(`${name} to ${node.name}`);
    process.kill(node.child.pid, name);
  }

  async stop() {
    for (const { child } of this.controllers) child?.kill("SIGKILL");
    await this.until(
      () => this.controllers.every(({ child }) => child.signalCode ?? child.exitCode !== null),
      5,
    );
    this.cloud.stop();
    this.state.stop();
    this.client.close();
    this.workerClient.close();
    await sleep(100);
    fs.rmSync(this.temporary, { recursive: true, force: true });
  }

  /** Waits until `check` returns a true value; null after the time limit. */
  async until(check, seconds) {
    const endAt = performance.now() + seconds * 1000;
    while (performance.now() < endAt) {
      const result = await check();
      if (result) return result;
      await sleep(100);
    }
    return null;
  }

  /** Waits until all controllers are ready. */
  untilReady(seconds = 20) {
    return this.until(async () => {
      for (const { port } of this.controllers) {
        const { status } = await this.client.call(port, "GET", "/ready", { timeoutMs: 1000 });
        if (status !== 200) return false;
      }
      return true;
    }, seconds);
  }

  /** Submits a job at one controller, as a user does: again after a second until it is accepted, for up to 60 s. */
  async submit(node, body, { runMs = Infinity, seconds = 60 } = {}) {
    this.jobs.set(body.ref, { body, runMs });
    return this.until(async () => {
      const answer = await this.client.call(node.port, "POST", "/v1/jobs", { body });
      this.write(
        `submit ${body.ref} at ${node.name}: ${answer.status} ${JSON.stringify(answer.body ?? answer.reason)}`,
      );
      if (answer.status === 201 || answer.status === 200) return answer;
      await sleep(1000);
      return null;
    }, seconds);
  }

  async show(node, ref) {
    const answer = await this.client.call(node.port, "GET", `/v1/jobs/${ref}`, { timeoutMs: 2000 });
    this.write(
      `ask ${ref} at ${node.name}: ${answer.status} ${JSON.stringify(answer.body ?? answer.reason)}`,
    );
    return answer;
  }
}

/** A submission with the given fields; the rest is that of a plain array. */
export function submission(fields) {
  return {
    ...{ strain: "report", crew: "calendars", form: "array", rank: "standard", spores: 1, cores: 1, gpus: 0 },
    ...{ memoryGb: 1, seedstock: "img-01", pullGb: 0.1, breeds: null, patch: null, together: false },
    ...{ scatter: false, windfall: false, guessS: 600, cairnS: 0, stashS: 0, dueS: null },
    ...fields,
  };
}
