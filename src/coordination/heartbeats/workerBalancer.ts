/**
 * Balances workers over the controllers that serve them: decides which worker is redirected, and to which controller. The
 * choice is a pure function (`chooseServer`); the balancer limits the rate of redirects, and avoids controllers that
 * workers cannot reach.
 */
import type { Heartbeat } from "../../protocol/model.js";
import type { Grant } from "../../protocol/peers/messages.js";

/** Fraction of a controller's fair share of the workers that the leader takes, because it has other work to do. */
const LEADER_SHARE = 0.5;
/** Fraction of a controller's fair share of the workers that a leader takes at the beginning of its term. */
const NEW_LEADER_SHARE = 0.1;
/** Redirects to a controller with fewer workers than this are spaced out, because workers may be unable to reach it. */
const FEW_WORKERS = 5;
/** Minimum time between redirects to a controller with few workers. */
const FEW_WORKERS_INTERVAL_MS = 250;
/** Minimum time between redirects of workers that this controller already serves, which move only for balance. */
const KNOWN_WORKER_INTERVAL_MS = 30;
/** The shortest time that a worker waits for a response before it tries another controller. */
const WORKER_TIMEOUT_MS = 3500;
/** A worker that returns within this many timeouts did not reach the controller; a later return proves nothing. */
const UNREACHED_WITHIN_TIMEOUTS = 4;
/** A redirect is forgotten after this many timeouts. */
const FORGET_AFTER_TIMEOUTS = 5;
/** No worker is redirected to a controller for this long after a worker did not reach it. */
const UNREACHABLE_PERIOD_MS = 20_000;

/** A controller with more event loop lag than this is slow: it redirects workers to others, and receives none. */
const SLOW_LAG_MS = 400;
/** A slow controller redirects workers only if its lag is at least this many times the target's lag. */
const MIN_LAG_RATIO = 3;
/**
 * A controller has too many workers if they exceed its fair share times `factor`, plus `workers`. New workers are
 * redirected early, because they have to connect to some controller anyway; known workers only at a large imbalance, such
 * as after an outage of other controllers.
 */
const NEW_WORKER_EXCESS = { factor: 1.1, workers: 3 };
const KNOWN_WORKER_EXCESS = { factor: 1.5, workers: 10 };
/** Workers are redirected to a controller for balance only while it has less than this fraction of its fair share. */
const MAX_TARGET_LOAD_FACTOR = 0.97;

/** The load of a controller that serves workers: its name, number of workers and event loop lag. */
type ServerLoad = Grant["servers"][number];

/** The state, in addition to the server list, that decides which controller should serve a worker. */
export interface BalancingInput {
  /** Whether this controller has acknowledged a heartbeat of the worker before. */
  isKnown: boolean;
  /** Name of the leader, or null if it is unknown. */
  leader: string | null;
  /** Whether the leader's term has just begun. */
  isLeaderNew: boolean;
  /** Event loop lag of this controller, in milliseconds. */
  lagMs: number;
  nowMs: number;
}

/** The input of `chooseServer`. */
export interface ServerChoiceInput {
  /** Name of this controller. */
  node: string;
  /** Name of the leader, or null if it is unknown. */
  leader: string | null;
  /** Fraction of a controller's fair share of the workers that the leader takes. */
  leaderShare: number;
  /** Event loop lag of this controller, in milliseconds. */
  lagMs: number;
  /** Whether this controller already serves the worker. */
  isKnown: boolean;
  /** The controllers that serve workers, including this one. */
  servers: ServerLoad[];
  /** Zone of the worker. */
  zone: string;
  /** Returns the zone of a controller, or an empty string if it is unknown. */
  zoneOf: (node: string) => string;
}

/** Owns this controller's view of the load and reachability of the others, and the workers that it has redirected. */
export class WorkerBalancer {
  private servers: ServerLoad[] = [];
  /** Steady time from which the next known worker may be redirected. */
  private nextKnownWorkerRedirectMs = -Infinity;
  /** Steady time from which the next worker may be redirected to a controller with few workers. */
  private nextFewWorkersRedirectMs = -Infinity;
  /** Target and time of the last redirect of each worker, by machine. */
  private readonly redirected = new Map<string, { to: string; atMs: number }>();
  /** Controllers that redirected workers did not reach, and until when no worker is redirected there. */
  private readonly unreachable = new Map<string, number>();

  constructor(
    private readonly node: string,
    /** Zone by name of each controller, including this one. */
    private readonly controllerZones: ReadonlyMap<string, string>,
  ) {}

  /** Sets the controllers that currently serve workers. */
  setServers(servers: ServerLoad[]): void {
    this.servers = servers;
  }

  /** Chooses the controller to redirect a worker to, and records the redirect; null if the worker stays. */
  redirectTarget(heartbeat: Heartbeat, input: BalancingInput): string | null {
    const { nowMs, isKnown } = input;
    // A redirect costs the worker a heartbeat, so known workers are moved only a few at a time.
    if (isKnown && nowMs < this.nextKnownWorkerRedirectMs) return null;
    const to = chooseServer({
      node: this.node,
      leader: input.leader,
      leaderShare: input.isLeaderNew ? NEW_LEADER_SHARE : LEADER_SHARE,
      lagMs: input.lagMs,
      isKnown,
      servers: this.reachableServers(nowMs),
      zone: heartbeat.zone,
      zoneOf: (node) => this.controllerZones.get(node) ?? "",
    });
    if (to === null) return null;
    if (this.workersAt(to) < FEW_WORKERS) {
      if (nowMs < this.nextFewWorkersRedirectMs) return null;
      this.nextFewWorkersRedirectMs = nowMs + FEW_WORKERS_INTERVAL_MS;
    }
    if (isKnown) this.nextKnownWorkerRedirectMs = nowMs + KNOWN_WORKER_INTERVAL_MS;
    this.recordRedirect(heartbeat.machine, to, nowMs);
    return to;
  }

  /**
   * Checks on a heartbeat whether a redirected worker has returned. A controller that has a grant but cannot be reached by
   * workers loses them, becomes the least loaded, and would attract the redirects of all others; the redirected workers'
   * leases would expire while they wait for its response. A worker that returns after such a wait did not reach the
   * controller, which is then treated as unreachable for a while.
   */
  detectReturn(machine: string, nowMs: number): void {
    const redirect = this.redirected.get(machine);
    if (!redirect) return;
    this.redirected.delete(machine);
    const awayMs = nowMs - redirect.atMs;
    if (awayMs > WORKER_TIMEOUT_MS && awayMs < UNREACHED_WITHIN_TIMEOUTS * WORKER_TIMEOUT_MS)
      this.unreachable.set(redirect.to, nowMs + UNREACHABLE_PERIOD_MS);
  }

  /** Removes redirects that are too old for the worker's return to prove anything. */
  expireRedirects(nowMs: number): void {
    for (const [machine, redirect] of this.redirected)
      if (nowMs - redirect.atMs > FORGET_AFTER_TIMEOUTS * WORKER_TIMEOUT_MS) this.redirected.delete(machine);
  }

  private workersAt(node: string): number {
    return this.servers.find((server) => server.node === node)?.workerCount ?? 0;
  }

  /** Records a redirect, and adjusts the worker counts until the next grant brings new ones. */
  private recordRedirect(machine: string, to: string, nowMs: number): void {
    this.redirected.set(machine, { to, atMs: nowMs });
    for (const server of this.servers) {
      if (server.node === to) server.workerCount++;
      else if (server.node === this.node) server.workerCount--;
    }
  }

  private reachableServers(nowMs: number): ServerLoad[] {
    if (this.unreachable.size === 0) return this.servers;
    return this.servers.filter((server) => !this.isUnreachable(server.node, nowMs));
  }

  private isUnreachable(node: string, nowMs: number): boolean {
    const untilMs = this.unreachable.get(node);
    if (untilMs === undefined) return false;
    if (nowMs < untilMs) return true;
    this.unreachable.delete(node);
    return false;
  }
}

/**
 * Chooses the controller that a worker should be redirected to, or null if it stays here. New workers are redirected to a
 * controller with room as soon as this one slightly exceeds its fair share. Known workers are redirected when it far
 * exceeds its share, since other controllers may have been down. All workers are redirected when this controller lags and
 * another one does not. The function is pure.
 */
export function chooseServer(input: ServerChoiceInput): string | null {
  // Workers are served in their own zone if it has controllers, so that a partition between zones separates no worker
  // from its controller.
  const inZone = input.servers.filter((server) => input.zoneOf(server.node) === input.zone);
  const candidates = inZone.length > 0 ? inZone : input.servers;
  const leastLoaded = leastLoadedOther(candidates, input);
  if (!leastLoaded) return null;
  const isInOtherZone = inZone.length > 0 && input.zoneOf(input.node) !== input.zone;
  if (isInOtherZone) return leastLoaded.node;
  const own = candidates.find((server) => server.node === input.node);
  if (!own) return null;
  if (input.lagMs > SLOW_LAG_MS)
    return input.lagMs >= leastLoaded.lagMs * MIN_LAG_RATIO ? leastLoaded.node : null;
  const fullShare = fullShareOf(candidates, input);
  const ownShare = fullShare * shareOf(own.node, input);
  const excess = input.isKnown ? KNOWN_WORKER_EXCESS : NEW_WORKER_EXCESS;
  const hasTooMany = own.workerCount > ownShare * excess.factor + excess.workers;
  const hasRoom =
    leastLoaded.workerCount < fullShare * shareOf(leastLoaded.node, input) * MAX_TARGET_LOAD_FACTOR;
  return hasTooMany && hasRoom ? leastLoaded.node : null;
}

/** The controller with the fewest workers relative to its share, among the others that are not slow. */
function leastLoadedOther(candidates: ServerLoad[], input: ServerChoiceInput): ServerLoad | null {
  let leastLoaded: ServerLoad | null = null;
  let lowestLoad = Infinity;
  for (const server of candidates) {
    if (server.node === input.node || server.lagMs > SLOW_LAG_MS) continue;
    const load = server.workerCount / shareOf(server.node, input);
    if (leastLoaded && load >= lowestLoad) continue;
    leastLoaded = server;
    lowestLoad = load;
  }
  return leastLoaded;
}

/** Fraction of a fair share of the workers that a controller takes. */
function shareOf(node: string, input: ServerChoiceInput): number {
  return node === input.leader ? input.leaderShare : 1;
}

/** Number of workers in a full share when all workers are spread evenly. */
function fullShareOf(candidates: ServerLoad[], input: ServerChoiceInput): number {
  let workers = 0;
  let shares = 0;
  for (const server of candidates) {
    workers += server.workerCount;
    shares += shareOf(server.node, input);
  }
  return workers / shares;
}
