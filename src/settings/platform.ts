/**
 * The platform's settings: this controller's identity, its peers, the limits of the services that it uses, and the teams.
 * They are read from a TOML file whose format the platform defines; `docs/settings.md` documents each field. Unknown
 * fields are ignored, so that files of later platform versions are accepted.
 */
import { parse } from "smol-toml";
import { SettingsError } from "./settingsError.js";
import { readSettingsFile } from "./settingsFile.js";
import { TableReader, type NumberBounds } from "./tableReader.js";

/** A service level objective, such as "this share of a class's jobs starts within a given time". */
export interface Objective {
  kind: string;
  /** The job class that the objective applies to; null if it names none. */
  className: string | null;
  /** The time limit in seconds; null if objectives of this kind have none. */
  withinS: number | null;
  /** The share of cases that have to meet the objective, from 0 to 1. */
  share: number;
  /** A factor whose meaning depends on the kind. */
  times: number;
}

/** A team's guaranteed and maximum resources. A guest team has neither a guarantee nor a limit. */
export interface Team {
  name: string;
  /** Guaranteed processor cores; 0 if there is no guarantee. */
  guaranteedCpus: number;
  /** Maximum processor cores in use at a time; Infinity if there is no limit. */
  maxCpus: number;
  /** Guaranteed GPUs; 0 if there is no guarantee. */
  guaranteedGpus: number;
  /** Maximum GPUs in use at a time; Infinity if there is no limit. */
  maxGpus: number;
}

/** Another controller. */
export interface Peer {
  name: string;
  zone: string;
  /** The address at which it listens for other controllers. */
  address: string;
}

/** The platform's settings. Times are in seconds (`…S`) or milliseconds (`…Ms`); addresses are `host:port`. */
export interface PlatformSettings {
  /** This controller's name. */
  node: string;
  /** The zone that this controller runs in. */
  zone: string;
  /** The address at which this controller listens for users and workers. */
  listenAddress: string;
  /** The address at which this controller listens for other controllers. */
  peerListenAddress: string;
  /** The other controllers. */
  peers: Peer[];
  cloudAddress: string;
  stateStoreAddress: string;
  /** Number of controllers, this one included. */
  clusterSize: number;
  /** The cloud's zones. */
  zones: string[];
  /** Maximum error of any host's wall clock. */
  clockErrorMs: number;
  teams: Team[];
  objectives: Objective[];
  /** Interval between two heartbeats of a worker. */
  heartbeatS: number;
  /** Duration of a worker's lease: a worker without an acknowledged heartbeat for this time stops its tasks. */
  leaseS: number;
  /** Time for which a gang's task waits for the other tasks of its gang. */
  gangWaitS: number;
  /** Time for which a gang's task continues without contact with the other tasks of its gang. */
  gangPeerS: number;
  /** Time after a cancellation within which all tasks of the job have to be gone. */
  cancelS: number;
  /** Requests per second that the state store serves, from all controllers together. */
  stateStoreRps: number;
  /** Key changes per second that the state store accepts, from all controllers together. */
  stateStoreWriteRps: number;
  /** Maximum size of a value in the state store, in KiB. */
  stateStoreMaxValueKib: number;
  /** Maximum number of changes in one transaction of the state store. */
  stateStoreMaxTransactionChanges: number;
  /** Requests per second that the cloud serves. */
  cloudRps: number;
  /** Maximum age of the cloud's list of machines. */
  machineListLagS: number;
  /** Maximum number of open sockets of this process. */
  maxConnections: number;
}

const FILE_HINT =
  "--config takes the platform's settings (TOML); deploy/example-settings.toml is an example.";

/** Upper bound of numbers without a natural one; a larger value is a typing mistake. */
const MAX_NUMBER = 1e9;
const NON_NEGATIVE: NumberBounds = { min: 0, max: MAX_NUMBER };
const MAX_CONTROLLERS = 99;

/** Fewer sockets would leave hardly any for workers, beside those for peers, the state store and the cloud. */
const MIN_SOCKETS = 16;

/** Finishing a job takes one transaction, which writes the final record and deletes the head and chunks. */
const MIN_TRANSACTION_CHANGES = 4;

/**
 * Parses the platform's settings.
 * @throws SettingsError if the text is not TOML, or with one line for each invalid or missing field.
 */
export function parsePlatformSettings(text: string): PlatformSettings {
  const errors: string[] = [];
  const root = TableReader.root(parseToml(text), errors);
  // All tables are looked up before any field is read, so that missing tables come first in the error message.
  const endpoints = root.child("endpoints");
  const cluster = root.child("cluster");
  const workers = cluster.child("workers");
  const stateStore = cluster.child("state");
  const cloud = cluster.child("cloud");
  const machineLimits = cluster.child("machine_limits");
  const platform: PlatformSettings = {
    ...readController(root),
    cloudAddress: endpoints.address("cloud"),
    stateStoreAddress: endpoints.address("state"),
    clusterSize: cluster.number("size", { min: 1, max: MAX_CONTROLLERS }),
    zones: cluster.texts("zones"),
    clockErrorMs: cluster.number("clock_error_ms", NON_NEGATIVE),
    teams: cluster.children("teams").map(readTeam),
    objectives: cluster.children("objectives").map(readObjective),
    ...readWorkerTimeouts(workers),
    ...readStateStoreLimits(stateStore),
    cloudRps: cloud.number("rps", { min: 0.01, max: MAX_NUMBER }),
    machineListLagS: cloud.number("list_lag_s", NON_NEGATIVE),
    maxConnections: machineLimits.number("max_connections", { min: MIN_SOCKETS, max: MAX_NUMBER }),
  };
  if (errors.length > 0) throw new SettingsError(errors.join("\n"));
  return platform;
}

/** Loads the platform's settings from a file. */
export function loadPlatformSettings(path: string): PlatformSettings {
  return parsePlatformSettings(readSettingsFile(path, FILE_HINT));
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
    guaranteedCpus: team.number("cpus", NON_NEGATIVE),
    maxCpus: readLimit(team, "cpus_max"),
    guaranteedGpus: team.number("gpus", NON_NEGATIVE),
    maxGpus: readLimit(team, "gpus_max"),
  };
}

/** A limit of 0 means no limit: guest teams are configured with 0 for both guarantees and limits. */
function readLimit(team: TableReader, key: string): number {
  const limit = team.number(key, NON_NEGATIVE);
  return limit === 0 ? Infinity : limit;
}

function readObjective(objective: TableReader): Objective {
  return {
    kind: objective.text("kind"),
    className: objective.has("class") ? objective.text("class") : null,
    withinS: objective.has("within_s") ? objective.number("within_s", NON_NEGATIVE) : null,
    share: objective.number("share", { min: 0, max: 1, fallback: 1 }),
    times: objective.number("times", { ...NON_NEGATIVE, fallback: 1 }),
  };
}

function readWorkerTimeouts(workers: TableReader) {
  return {
    heartbeatS: workers.number("report_s", { min: 0.01, max: MAX_NUMBER }),
    leaseS: workers.number("lease_s", { min: 0.1, max: MAX_NUMBER }),
    gangWaitS: workers.number("gang_wait_s", NON_NEGATIVE),
    gangPeerS: workers.number("gang_peer_s", NON_NEGATIVE),
    cancelS: workers.number("cancel_s", NON_NEGATIVE),
  };
}

function readStateStoreLimits(stateStore: TableReader) {
  return {
    stateStoreRps: stateStore.number("rps", { min: 1, max: MAX_NUMBER }),
    stateStoreWriteRps: stateStore.number("write_rps", { min: 0.1, max: MAX_NUMBER }),
    stateStoreMaxValueKib: stateStore.number("value_kb", { min: 1, max: MAX_NUMBER }),
    stateStoreMaxTransactionChanges: stateStore.number("txn_ops", {
      min: MIN_TRANSACTION_CHANGES,
      max: MAX_NUMBER,
    }),
  };
}
