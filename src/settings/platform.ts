import { readFileSync } from "node:fs";
import { parse } from "smol-toml";

/** Everything wrong with a settings file, each with its path, value and reason. */
export class SettingsError extends Error {}

export interface Objective {
  kind: string;
  className: string | null;
  withinS: number | null;
  share: number;
  times: number;
}
export interface Team {
  name: string;
  guaranteedCpus: number;
  maxCpus: number;
  guaranteedGpus: number;
  maxGpus: number;
}
export interface Platform {
  node: string;
  zone: string;
  listen: string;
  peerListen: string;
  peers: { name: string; zone: string; address: string }[];
  cloudAddress: string;
  stateStoreAddress: string;
  clusterSize: number;
  zones: string[];
  clockErrorMs: number;
  teams: Team[];
  objectives: Objective[];
  heartbeatS: number;
  leaseS: number;
  gangWaitS: number;
  gangPeerS: number;
  cancelS: number;
  stateStoreRps: number;
  stateStoreWriteRps: number;
  stateStoreValueKb: number;
  stateStoreTransactionChanges: number;
  cloudRps: number;
  listLagS: number;
  maxConnections: number;
}

type Table = Record<string, unknown>;

class Fields {
  readonly wrong: string[] = [];

  private bad(path: string, value: unknown, reason: string): void {
    this.wrong.push(
      value === undefined ? `${path}: missing, ${reason}` : `${path} = ${JSON.stringify(value)}: ${reason}`,
    );
  }
  table(parent: Table, path: string, key: string): Table {
    const value = parent[key];
    if (typeof value === "object" && value !== null && !Array.isArray(value)) return value as Table;
    this.bad(join(path, key), value, "must be a table");
    return {};
  }
  tables(parent: Table, path: string, key: string): Table[] {
    const value = parent[key] ?? [];
    if (Array.isArray(value) && value.every((v) => typeof v === "object" && v !== null))
      return value as Table[];
    this.bad(join(path, key), value, "must be an array of tables");
    return [];
  }
  text(parent: Table, path: string, key: string): string {
    const value = parent[key];
    if (typeof value === "string" && value !== "") return value;
    this.bad(join(path, key), value, "must be a non-empty string");
    return "";
  }
  address(parent: Table, path: string, key: string): string {
    const value = parent[key];
    const match = typeof value === "string" ? /^[^\s:]+:(\d{1,5})$/.exec(value) : null;
    if (match && Number(match[1]) >= 1 && Number(match[1]) <= 65535) return value as string;
    this.bad(join(path, key), value, "must be an address such as 10.0.0.1:8080");
    return "";
  }
  texts(parent: Table, path: string, key: string): string[] {
    const value = parent[key];
    if (Array.isArray(value) && value.length > 0 && value.every((v) => typeof v === "string" && v !== ""))
      return value as string[];
    this.bad(join(path, key), value, "must be a non-empty array of strings");
    return [];
  }
  number(parent: Table, path: string, key: string, low: number, high: number, fallback?: number): number {
    const value = parent[key] ?? fallback;
    const n = typeof value === "bigint" ? Number(value) : value;
    if (typeof n === "number" && n >= low && n <= high) return n;
    this.bad(join(path, key), value, `must be a number from ${low} to ${high}`);
    return low;
  }
}

function join(path: string, key: string): string {
  return path === "" ? key : `${path}.${key}`;
}

const MANY = 1e9;

/** 0 means that there is none: so come guest teams, which have no guarantee either. */
function limitOf(value: number): number {
  return value === 0 ? Infinity : value;
}

export function readPlatform(text: string): Platform {
  let root: Table;
  try {
    root = parse(text);
  } catch (error) {
    throw new SettingsError(`not TOML: ${(error as Error).message.split("\n")[0]}`);
  }
  const f = new Fields();
  const endpoints = f.table(root, "", "endpoints");
  const cluster = f.table(root, "", "cluster");
  const workers = f.table(cluster, "cluster", "workers");
  const state = f.table(cluster, "cluster", "state");
  const cloud = f.table(cluster, "cluster", "cloud");
  const limits = f.table(cluster, "cluster", "machine_limits");
  const platform: Platform = {
    node: f.text(root, "", "node_name"),
    zone: f.text(root, "", "zone"),
    listen: f.address(root, "", "serve_on"),
    peerListen: f.address(root, "", "cluster_listen"),
    peers: f.tables(root, "", "peers").map((p, i) => ({
      name: f.text(p, `peers[${i}]`, "node_name"),
      zone: f.text(p, `peers[${i}]`, "zone"),
      address: f.address(p, `peers[${i}]`, "address"),
    })),
    cloudAddress: f.address(endpoints, "endpoints", "cloud"),
    stateStoreAddress: f.address(endpoints, "endpoints", "state"),
    clusterSize: f.number(cluster, "cluster", "size", 1, 99),
    zones: f.texts(cluster, "cluster", "zones"),
    clockErrorMs: f.number(cluster, "cluster", "clock_error_ms", 0, MANY),
    teams: f.tables(cluster, "cluster", "teams").map((t, i) => ({
      name: f.text(t, `cluster.teams[${i}]`, "name"),
      guaranteedCpus: f.number(t, `cluster.teams[${i}]`, "cpus", 0, MANY),
      maxCpus: limitOf(f.number(t, `cluster.teams[${i}]`, "cpus_max", 0, MANY)),
      guaranteedGpus: f.number(t, `cluster.teams[${i}]`, "gpus", 0, MANY),
      maxGpus: limitOf(f.number(t, `cluster.teams[${i}]`, "gpus_max", 0, MANY)),
    })),
    objectives: f.tables(cluster, "cluster", "objectives").map((o, i) => ({
      kind: f.text(o, `cluster.objectives[${i}]`, "kind"),
      className: o.class === undefined ? null : f.text(o, `cluster.objectives[${i}]`, "class"),
      withinS: o.within_s === undefined ? null : f.number(o, `cluster.objectives[${i}]`, "within_s", 0, MANY),
      share: f.number(o, `cluster.objectives[${i}]`, "share", 0, 1, 1),
      times: f.number(o, `cluster.objectives[${i}]`, "times", 0, MANY, 1),
    })),
    heartbeatS: f.number(workers, "cluster.workers", "report_s", 0.01, MANY),
    leaseS: f.number(workers, "cluster.workers", "lease_s", 0.1, MANY),
    gangWaitS: f.number(workers, "cluster.workers", "gang_wait_s", 0, MANY),
    gangPeerS: f.number(workers, "cluster.workers", "gang_peer_s", 0, MANY),
    cancelS: f.number(workers, "cluster.workers", "cancel_s", 0, MANY),
    stateStoreRps: f.number(state, "cluster.state", "rps", 1, MANY),
    stateStoreWriteRps: f.number(state, "cluster.state", "write_rps", 0.1, MANY),
    stateStoreValueKb: f.number(state, "cluster.state", "value_kb", 1, MANY),
    stateStoreTransactionChanges: f.number(state, "cluster.state", "txn_ops", 4, MANY),
    cloudRps: f.number(cloud, "cluster.cloud", "rps", 0.01, MANY),
    listLagS: f.number(cloud, "cluster.cloud", "list_lag_s", 0, MANY),
    maxConnections: f.number(limits, "cluster.machine_limits", "max_connections", 16, MANY),
  };
  if (f.wrong.length > 0) throw new SettingsError(f.wrong.join("\n"));
  return platform;
}

export function loadPlatform(path: string): Platform {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    throw new SettingsError(`${path}: ${(error as Error).message}`);
  }
  return readPlatform(text);
}
