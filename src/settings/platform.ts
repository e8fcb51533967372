/**
 * The platform's settings: who this controller is, its peers, the limits of what it works with, and the teams. They come
 * as a TOML file whose form the platform owns; `docs/settings.md` describes each field. Unknown fields are ignored, so
 * that a later platform's file still works.
 */
import { parse } from "smol-toml";
import { SettingsError } from "./settingsError.js";
import { readSettingsFile } from "./settingsFile.js";
import { TableReader, type NumberBounds } from "./tableReader.js";

/** What is expected of the service, such as "the share of this class's jobs that start within a time". */
export interface Objective {
  kind: string;
  /** The class of jobs that it concerns; null: it names none. */
  className: string | null;
  /** Seconds; null: the kind has no time. */
  withinS: number | null;
  /** The share of cases that have to meet it, from 0 to 1. */
  share: number;
  /** A factor, as its kind defines it. */
  times: number;
}

/** What a team may use. A guest team has neither a guarantee nor a limit. */
export interface Team {
  name: string;
  /** Processor cores that it is sure of; 0: none. */
  guaranteedCpus: number;
  /** Processor cores that it may use at once; Infinity: no limit. */
  maxCpus: number;
  guaranteedGpus: number;
  maxGpus: number;
}

/** Another controller. */
export interface Peer {
  name: string;
  zone: string;
  /** Where it listens for other controllers. */
  address: string;
}

/** The platform's settings. Times are in seconds (`…S`) or milliseconds (`…Ms`), addresses are `host:port`. */
export interface Platform {
  /** This controller's name. */
  node: string;
  /** The zone that this controller runs in. */
  zone: string;
  /** Where it listens for users and workers. */
  listenAddress: string;
  /** Where it listens for other controllers. */
  peerListenAddress: string;
  /** The other controllers. */
  peers: Peer[];
  cloudAddress: string;
  stateStoreAddress: string;
  /** Number of controllers, this one included. */
  clusterSize: number;
  /** The cloud's zones. */
  zones: string[];
  /** The time of day of any host may be wrong by this much. */
  clockErrorMs: number;
  teams: Team[];
  objectives: Objective[];
  /** Time between two heartbeats of a worker. */
  heartbeatS: number;
  /** A worker whose heartbeats aren't acknowledged for so long stops its tasks. */
  leaseS: number;
  /** A gang's task waits for the others of its gang for so long. */
  gangWaitS: number;
  /** A gang's task goes on without a word from the others of its gang for so long. */
  gangPeerS: number;
  /** A cancelled job's tasks have to be gone after this. */
  cancelS: number;
  /** Requests per second that the state store serves, from all controllers together. */
  stateStoreRps: number;
  /** Those of them that may be writes. */
  stateStoreWriteRps: number;
  /** The longest value that the state store takes, in KiB. */
  stateStoreValueKb: number;
  /** Changes in one transaction of the state store. */
  stateStoreTransactionChanges: number;
  /** Requests per second that the cloud serves. */
  cloudRps: number;
  /** The cloud's list of machines may be this old. */
  listLagS: number;
  /** Sockets that this process may have open. */
  maxConnections: number;
}

const FILE_HINT =
  "--config takes the platform's settings (TOML); deploy/example-settings.toml is an example.";

/** A bound for numbers that have none: more is a slip of the pen. */
const MANY = 1e9;
const ANY_AMOUNT: NumberBounds = { min: 0, max: MANY };
const MAX_CONTROLLERS = 99;

/** With fewer sockets hardly any would be left for workers beside peers, the state store and the cloud. */
const MIN_CONNECTIONS = 16;

/** Finishing a job writes its final record and deletes its head and chunks in one transaction. */
const MIN_TRANSACTION_CHANGES = 4;

/**
 * Reads the platform's settings.
 * @throws SettingsError when the text is not TOML, or with a line for each mistake.
 */
export function readPlatform(text: string): Platform {
  const mistakes: string[] = [];
  const root = TableReader.root(parseToml(text), mistakes);
  // All tables are looked up before any field is read: missing ones come first in the list of mistakes.
  const endpoints = root.child("endpoints");
  const cluster = root.child("cluster");
  const workers = cluster.child("workers");
  const stateStore = cluster.child("state");
  const cloud = cluster.child("cloud");
  const machineLimits = cluster.child("machine_limits");
  const platform: Platform = {
    ...readController(root),
    cloudAddress: endpoints.address("cloud"),
    stateStoreAddress: endpoints.address("state"),
    clusterSize: cluster.number("size", { min: 1, max: MAX_CONTROLLERS }),
    zones: cluster.texts("zones"),
    clockErrorMs: cluster.number("clock_error_ms", ANY_AMOUNT),
    teams: cluster.children("teams").map(readTeam),
    objectives: cluster.children("objectives").map(readObjective),
    ...readWorkerTimes(workers),
    ...readStateStoreLimits(stateStore),
    cloudRps: cloud.number("rps", { min: 0.01, max: MANY }),
    listLagS: cloud.number("list_lag_s", ANY_AMOUNT),
    maxConnections: machineLimits.number("max_connections", { min: MIN_CONNECTIONS, max: MANY }),
  };
  if (mistakes.length > 0) throw new SettingsError(mistakes.join("\n"));
  return platform;
}

/** Reads the platform's settings from a file. */
export function loadPlatform(path: string): Platform {
  return readPlatform(readSettingsFile(path, FILE_HINT));
}

function parseToml(text: string): Record<string, unknown> {
  try {
    return parse(text);
  } catch (error) {
    throw new SettingsError(`not TOML: ${(error as Error).message.split("\n")[0]}`);
  }
}

function readController(root: TableReader) {
  return {
    node: root.text("node_name"),
    zone: root.text("zone"),
    listenAddress: root.address("serve_on"),
    peerListenAddress: root.address("cluster_listen"),
    peers: root.children("peers").map(readPeer),
  };
}

function readPeer(peer: TableReader): Peer {
  return { name: peer.text("node_name"), zone: peer.text("zone"), address: peer.address("address") };
}

function readTeam(team: TableReader): Team {
  return {
    name: team.text("name"),
    guaranteedCpus: team.number("cpus", ANY_AMOUNT),
    maxCpus: readLimit(team, "cpus_max"),
    guaranteedGpus: team.number("gpus", ANY_AMOUNT),
    maxGpus: readLimit(team, "gpus_max"),
  };
}

/** 0 means that there is none: so come guest teams, which have no guarantee either. */
function readLimit(team: TableReader, key: string): number {
  const limit = team.number(key, ANY_AMOUNT);
  return limit === 0 ? Infinity : limit;
}

function readObjective(objective: TableReader): Objective {
  return {
    kind: objective.text("kind"),
    className: objective.has("class") ? objective.text("class") : null,
    withinS: objective.has("within_s") ? objective.number("within_s", ANY_AMOUNT) : null,
    share: objective.number("share", { min: 0, max: 1, fallback: 1 }),
    times: objective.number("times", { ...ANY_AMOUNT, fallback: 1 }),
  };
}

function readWorkerTimes(workers: TableReader) {
  return {
    heartbeatS: workers.number("report_s", { min: 0.01, max: MANY }),
    leaseS: workers.number("lease_s", { min: 0.1, max: MANY }),
    gangWaitS: workers.number("gang_wait_s", ANY_AMOUNT),
    gangPeerS: workers.number("gang_peer_s", ANY_AMOUNT),
    cancelS: workers.number("cancel_s", ANY_AMOUNT),
  };
}

function readStateStoreLimits(stateStore: TableReader) {
  return {
    stateStoreRps: stateStore.number("rps", { min: 1, max: MANY }),
    stateStoreWriteRps: stateStore.number("write_rps", { min: 0.1, max: MANY }),
    stateStoreValueKb: stateStore.number("value_kb", { min: 1, max: MANY }),
    stateStoreTransactionChanges: stateStore.number("txn_ops", { min: MIN_TRANSACTION_CHANGES, max: MANY }),
  };
}
