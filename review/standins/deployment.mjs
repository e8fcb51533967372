/** Starts the project's controllers as separate processes with the run command of the deploy file. */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout } from "node:timers";
import { fileURLToPath } from "node:url";
import { callJson } from "./httpJson.mjs";
import { PeerLinks } from "./peerLinks.mjs";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");

/** The platform starts a controller again about this long after its end. */
const RESTART_AFTER_MS = 3000;

/** The longest wait for killed controllers to end. */
const MAX_END_MS = 1500;

/** Resolves after the time. */
export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Writes what was sent, answered and run to `record.txt`, each line with the seconds since the start. */
export class Recorder {
  constructor(folder) {
    this.file = join(folder, "record.txt");
    this.startedAt = Date.now();
    this.counts = new Map();
    writeFileSync(this.file, "");
  }

  line(text) {
    const atS = ((Date.now() - this.startedAt) / 1000).toFixed(2).padStart(7);
    appendFileSync(this.file, `${atS} s  ${text}\n`);
  }

  /** Writes the first lines of each kind in full and then each hundredth. */
  sampled(kind, detail) {
    const count = (this.counts.get(kind) ?? 0) + 1;
    this.counts.set(kind, count);
    if (count <= 20 || count % 100 === 0) this.line(`${kind} (${count}): ${detail}`);
  }
}

let lastPort = 15_000 + (process.pid % 150) * 100;

/**
 * A free port below the range from which the system takes the ports of outgoing connections. Cases that run at the same
 * time begin at different ports.
 */
async function freePort() {
  for (;;) {
    const port = ++lastPort;
    const server = net.createServer();
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    return port;
  }
}

/** The run command of the deploy file, split into the program and its arguments. */
function runCommand() {
  const text = readFileSync(join(ROOT, "deploy/service.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/**
 * Options: `zones` of the controllers; `cluster`: the text of the tables under [cluster]; `endpoints`; `recorder`;
 * `hasLinkProxies`: whether the controllers reach each other through proxies, which can refuse connections.
 */
export class Deployment {
  constructor(options) {
    this.options = options;
    this.nodes = [];
    this.links = new PeerLinks();
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
  }

  async prepare() {
    const { zones } = this.options;
    for (let index = 0; index < zones.length; index++) {
      const [userPort, peerPort] = [await freePort(), await freePort()];
      const address = `127.0.0.1:${userPort}`;
      const peerAddress = `127.0.0.1:${peerPort}`;
      this.nodes.push({ name: `tuft-${index}`, zone: zones[index], address, peerAddress, process: null });
    }
    if (this.options.hasLinkProxies) await this.links.prepare(this.nodes);
  }

  get controllers() {
    return this.nodes.map(({ name, address }) => ({ name, address }));
  }

  settingsFor(node) {
    const { endpoints, cluster } = this.options;
    const peers = this.nodes
      .filter((other) => other !== node)
      .map((other) => peerTable(other.name, other.zone, this.peerAddressOf(node, other)));
    return [
      `node_name = "${node.name}"`,
      `zone = "${node.zone}"`,
      `serve_on = "${node.address}"`,
      `cluster_listen = "${node.peerAddress}"`,
      ...peers,
      "[endpoints]",
      `cloud = "${endpoints.cloud}"`,
      `state = "${endpoints.state}"`,
      cluster,
    ].join("\n");
  }

  peerAddressOf(from, to) {
    return this.options.hasLinkProxies ? this.links.addressOf(from, to) : to.peerAddress;
  }

  startNode(node) {
    const file = join(this.folder, `${node.name}.toml`);
    writeFileSync(file, this.settingsFor(node));
    const [program, ...args] = runCommand();
    const log = openSync(join(this.folder, `${node.name}.log`), "a");
    node.process = spawn(program, [...args, file], { cwd: ROOT, stdio: ["ignore", "ignore", log] });
    node.logFile = join(this.folder, `${node.name}.log`);
    const { pid } = node.process;
    this.options.recorder.line(`started ${node.name}, process ${pid}`);
    node.process.on("exit", (code, signal) => this.handleExit(node, pid, { code, signal }));
  }

  /** The platform starts a process again that has ended. */
  handleExit(node, pid, { code, signal }) {
    this.options.recorder.line(`${node.name}, process ${pid}, ended: code ${code}, signal ${signal}`);
    setTimeout(() => {
      if (!this.isStopping) this.startNode(node);
    }, RESTART_AFTER_MS).unref();
  }

  startAll() {
    for (const node of this.nodes) this.startNode(node);
  }

  /** The node that became leader of the newest term, according to the logs. */
  leader() {
    let newest = { term: 0, node: this.nodes[0] };
    for (const node of this.nodes)
      for (const [, term] of readFileSync(node.logFile, "utf8").matchAll(/became leader of term (\d+)/g))
        if (Number(term) > newest.term) newest = { term: Number(term), node };
    return newest.node;
  }

  /** Kills the node; the platform starts it again after the time that the brief names. */
  kill(node) {
    node.process.kill("SIGKILL");
    this.options.recorder.line(`killed ${node.name}`);
  }

  async waitUntilReady(timeoutMs) {
    const endAt = Date.now() + timeoutMs;
    while (Date.now() < endAt) {
      const replies = await Promise.all(
        this.nodes.map(({ address }) => callJson(address, { path: "/ready", timeoutMs: 1000 })),
      );
      if (replies.every(({ status }) => status === 200)) return true;
      await sleep(250);
    }
    return false;
  }

  /** Copies the controllers' log lines that match into the record. */
  recordLogs(pattern, maxLines = 40) {
    for (const node of this.nodes) {
      if (!node.logFile) continue;
      const lines = readFileSync(node.logFile, "utf8")
        .split("\n")
        .filter((line) => pattern.test(line));
      for (const line of lines.slice(0, maxLines)) this.options.recorder.line(`log: ${line}`);
    }
  }

  /** Kills all controllers, and resolves once they have ended. */
  async stop() {
    this.isStopping = true;
    const ends = [];
    for (const { process: child } of this.nodes) {
      if (!child || child.exitCode !== null || child.signalCode !== null) continue;
      ends.push(new Promise((resolve) => child.once("exit", resolve)));
      child.kill("SIGKILL");
    }
    await Promise.race([Promise.all(ends), sleep(MAX_END_MS)]);
    this.links.stop();
    if (!process.env.KEEP_LOGS) rmSync(this.folder, { recursive: true, force: true });
  }
}

function peerTable(name, zone, address) {
  return `[[peers]]\nnode_name = "${name}"\nzone = "${zone}"\naddress = "${address}"`;
}
