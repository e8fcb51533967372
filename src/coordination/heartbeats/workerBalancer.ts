/**
 * Spreads workers over the controllers that serve them: which worker is redirected, and to which controller. The choice is
 * a pure function (`chooseServer`); the balancer limits how fast workers move and avoids controllers that they don't reach.
 */
import type { Heartbeat } from "../../protocol/model.js";
import type { Grant } from "../../protocol/peers/messages.js";

/** The leader has other work: of a controller's share of the workers it takes this part, and less as its term begins. */
const LEADER_SHARE = 0.5;
const NEW_LEADER_SHARE = 0.1;
/** A controller with fewer workers than this is sent one at a time: perhaps they don't reach it. */
const FEW_WORKERS = 5;
const FEW_WORKERS_INTERVAL_MS = 250;
/** Workers that are known here, and so are redirected for balance alone, are redirected this far apart. */
const KNOWN_WORKER_INTERVAL_MS = 30;
/** The shortest time that a worker waits for a response before it tries another controller. */
const WORKER_TIMEOUT_MS = 3500;
/** A worker that is back within so many of these times did not reach the controller; after more it says nothing. */
const UNREACHED_WITHIN_TIMEOUTS = 4;
const FORGET_AFTER_TIMEOUTS = 5;
/** A controller that a worker did not reach is sent none for so long. */
const UNREACHABLE_MS = 20_000;

/** A controller that lags by more than this redirects workers to those that keep up, and is redirected none. */
const SLOW_LAG_MS = 400;
/** A slow controller redirects only to one that is so many times faster. */
const FASTER_BY = 3;
/**
 * A controller has too many workers when they exceed its fair share by this factor and that number. New workers are
 * redirected early, for they have to be served somewhere anyway; known ones only when others were away.
 */
const NEW_WORKER_EXCESS = { factor: 1.1, workers: 3 };
const KNOWN_WORKER_EXCESS = { factor: 1.5, workers: 10 };
/** A controller is redirected workers only while it has less than this part of its fair share. */
const ROOM_FACTOR = 0.97;

/** A controller that serves workers: its name, how many workers it has, its event loop's lag. */
type ServerLoad = Grant["servers"][number];

/** What decides, beside the servers, which controller should serve a worker. */
export interface BalancingFacts {
  /** A heartbeat of the worker has been acknowledged here before. */
  isKnown: boolean;
  leader: string | null;
  leaderIsNew: boolean;
  /** This controller's event loop's lag. */
  lagMs: number;
  nowMs: number;
}

/** What the choice of a controller is made from. */
export interface ServerChoice {
  /** Name of this controller. */
  node: string;
  leader: string | null;
  /** The part that the leader takes of a controller's share of the workers. */
  leaderShare: number;
  /** This controller's event loop's lag. */
  lagMs: number;
  /** The worker is served here already. */
  isKnown: boolean;
  /** This controller among them. */
  servers: ServerLoad[];
  /** The worker's. */
  zone: string;
  zoneOf: (node: string) => string;
}

/** Owns what this controller knows of the others as places for workers, and which workers it has redirected. */
export class WorkerBalancer {
  private servers: ServerLoad[] = [];
  /** Workers that are known here are redirected from then on. */
  private nextKnownWorkerMs = -Infinity;
  /** Workers are redirected to a controller with few workers from then on. */
  private nextToFewMs = -Infinity;
  /** Where workers were redirected to, and when. */
  private readonly redirected = new Map<string, { to: string; atMs: number }>();
  /** Controllers that redirected workers did not reach, and until when none is redirected there. */
  private readonly unreachable = new Map<string, number>();

  constructor(
    private readonly node: string,
    /** Each controller's zone, ours included. */
    private readonly zones: ReadonlyMap<string, string>,
  ) {}

  /** Sets the controllers that serve workers at present. */
  setServers(servers: ServerLoad[]): void {
    this.servers = servers;
  }

  /** Another controller that this worker should go to, counted as redirected there; null: it stays. */
  redirectTarget(heartbeat: Heartbeat, facts: BalancingFacts): string | null {
    const { nowMs, isKnown } = facts;
    // A redirect costs a heartbeat: known workers are moved a few at a time.
    if (isKnown && nowMs < this.nextKnownWorkerMs) return null;
    const to = chooseServer({
      node: this.node,
      leader: facts.leader,
      leaderShare: facts.leaderIsNew ? NEW_LEADER_SHARE : LEADER_SHARE,
      lagMs: facts.lagMs,
      isKnown,
      servers: this.reachableServers(nowMs),
      zone: heartbeat.zone,
      zoneOf: (node) => this.zones.get(node) ?? "",
    });
    if (to === null) return null;
    if (this.workersAt(to) < FEW_WORKERS) {
      if (nowMs < this.nextToFewMs) return null;
      this.nextToFewMs = nowMs + FEW_WORKERS_INTERVAL_MS;
    }
    if (isKnown) this.nextKnownWorkerMs = nowMs + KNOWN_WORKER_INTERVAL_MS;
    this.noteRedirect(heartbeat.machine, to, nowMs);
    return to;
  }

  /**
   * A worker's heartbeat has arrived; perhaps it was redirected and is back. A controller with a grant that is cut off from
   * the workers alone has ever fewer of them: the lightest, to which everybody would redirect theirs, to wait there for a
   * response while their leases run out. A worker that is back after such a wait has not reached it.
   */
  noteReturn(machine: string, nowMs: number): void {
    const redirect = this.redirected.get(machine);
    if (!redirect) return;
    this.redirected.delete(machine);
    const awayMs = nowMs - redirect.atMs;
    if (awayMs > WORKER_TIMEOUT_MS && awayMs < UNREACHED_WITHIN_TIMEOUTS * WORKER_TIMEOUT_MS)
      this.unreachable.set(redirect.to, nowMs + UNREACHABLE_MS);
  }

  /** Forgets redirects so long ago that the workers' return would say nothing. */
  forgetOld(nowMs: number): void {
    for (const [machine, redirect] of this.redirected)
      if (nowMs - redirect.atMs > FORGET_AFTER_TIMEOUTS * WORKER_TIMEOUT_MS) this.redirected.delete(machine);
  }

  private workersAt(node: string): number {
    return this.servers.find((server) => server.node === node)?.machines ?? 0;
  }

  /** Until the next grant brings new numbers, the redirected workers are counted here. */
  private noteRedirect(machine: string, to: string, nowMs: number): void {
    this.redirected.set(machine, { to, atMs: nowMs });
    for (const server of this.servers) {
      if (server.node === to) server.machines++;
      else if (server.node === this.node) server.machines--;
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
 * The controller that a worker should go to; null: it stays here. New workers go where there is room as soon as this
 * controller has a little more than its share; known ones when it has far more (the others may have been away), or when it
 * lags and another one does not. Pure.
 */
export function chooseServer(choice: ServerChoice): string | null {
  // Workers stay in their own zone where it has controllers, so that a partition between zones separates none from its
  // controller.
  const inZone = choice.servers.filter((server) => choice.zoneOf(server.node) === choice.zone);
  const candidates = inZone.length > 0 ? inZone : choice.servers;
  const lightest = lightestOther(candidates, choice);
  if (!lightest) return null;
  const isInOtherZone = inZone.length > 0 && choice.zoneOf(choice.node) !== choice.zone;
  if (isInOtherZone) return lightest.node;
  const own = candidates.find((server) => server.node === choice.node);
  if (!own) return null;
  if (choice.lagMs > SLOW_LAG_MS) return choice.lagMs >= lightest.lagMs * FASTER_BY ? lightest.node : null;
  const wholeShare = wholeShareOf(candidates, choice);
  const ownShare = wholeShare * shareOf(own.node, choice);
  const excess = choice.isKnown ? KNOWN_WORKER_EXCESS : NEW_WORKER_EXCESS;
  const hasTooMany = own.machines > ownShare * excess.factor + excess.workers;
  const hasRoom = lightest.machines < wholeShare * shareOf(lightest.node, choice) * ROOM_FACTOR;
  return hasTooMany && hasRoom ? lightest.node : null;
}

/** The other controller that keeps up and has the fewest workers for its share. */
function lightestOther(candidates: ServerLoad[], choice: ServerChoice): ServerLoad | null {
  let lightest: ServerLoad | null = null;
  let lightestLoad = Infinity;
  for (const server of candidates) {
    if (server.node === choice.node || server.lagMs > SLOW_LAG_MS) continue;
    const load = server.machines / shareOf(server.node, choice);
    if (lightest && load >= lightestLoad) continue;
    lightest = server;
    lightestLoad = load;
  }
  return lightest;
}

/** The part of a controller's share of the workers that this one takes. */
function shareOf(node: string, choice: ServerChoice): number {
  return node === choice.leader ? choice.leaderShare : 1;
}

/** How many workers a controller has that takes a whole share, when they are spread evenly. */
function wholeShareOf(candidates: ServerLoad[], choice: ServerChoice): number {
  let workers = 0;
  let shares = 0;
  for (const server of candidates) {
    workers += server.machines;
    shares += shareOf(server.node, choice);
  }
  return workers / shares;
}
