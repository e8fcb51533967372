import type { Grant } from "../../protocol/peers/messages.js";
import type { Heartbeat } from "../../protocol/model.js";

/** A node this far behind sends workers on to nodes that keep up. */
const SLOW_MS = 400;
/** The leader has other work; of workers it takes this share of what the others take, and less as it begins. */
const LEADER_SHARE = 0.5;
const NEW_LEADER_SHARE = 0.1;
/** A controller with fewer workers than this is sent one at a time: perhaps they don't reach it. */
const FEW_MACHINES = 5;
const TRICKLE_MS = 250;
/** A worker waits so long for an answer at the least before it gives a controller up. */
const ANSWER_MS = 3500;
const UNREACHABLE_MS = 20_000;
/** Workers that are sent on though they were here already are this far apart. */
const MOVE_EVERY_MS = 30;

/** What decides, beside the servers, where a worker should report. */
export interface BalancingFacts {
  /** It has reported here before. */
  isKnown: boolean;
  leader: string | null;
  leaderIsNew: boolean;
  lagMs: number;
  nowMs: number;
}

/** Spreads workers over the controllers that serve them: says which to send on, and where. */
export class WorkerBalancer {
  private servers: Grant["servers"] = [];
  private nextMoveMs = -Infinity;
  /** Where we sent workers, and when. */
  private readonly redirected = new Map<string, { to: string; atMs: number }>();
  /** Controllers that workers we sent did not reach, and until when we send none there. */
  private readonly unreachable = new Map<string, number>();
  /** When we may send the next one to a controller that hardly serves any. */
  private nextTrickleMs = -Infinity;

  constructor(
    private readonly node: string,
    /** Each controller's zone, ours included. */
    private readonly zones: ReadonlyMap<string, string>,
  ) {}

  /** Who serves workers at present, and how many. */
  setServers(servers: Grant["servers"]): void {
    this.servers = servers;
  }

  /** Another controller that this worker should go to; null: stay. */
  redirectTarget(report: Heartbeat, facts: BalancingFacts): string | null {
    const { nowMs } = facts;
    // Moving costs a report: whoever is here goes only a few at a time.
    if (facts.isKnown && nowMs < this.nextMoveMs) return null;
    const to = chooseServer({
      node: this.node,
      leader: facts.leader,
      leaderShare: facts.leaderIsNew ? NEW_LEADER_SHARE : LEADER_SHARE,
      lagMs: facts.lagMs,
      isKnown: facts.isKnown,
      servers: this.reachableServers(nowMs),
      zone: report.zone,
      zoneOf: (node) => this.zones.get(node) ?? "",
    });
    if (to === null) return null;
    if ((this.servers.find((server) => server.node === to)?.machines ?? 0) < FEW_MACHINES) {
      if (nowMs < this.nextTrickleMs) return null;
      this.nextTrickleMs = nowMs + TRICKLE_MS;
    }
    if (facts.isKnown) this.nextMoveMs = nowMs + MOVE_EVERY_MS;
    this.noteRedirect(report.machine, to, nowMs);
    return to;
  }

  /**
   * Granted, and cut off from the workers alone, a controller has ever fewer of them: the lightest, to which everybody
   * would send theirs, to wait there for an answer while their leases run out. Who comes back after such a wait has not
   * reached it.
   */
  noteReturn(machine: string, nowMs: number): void {
    const sent = this.redirected.get(machine);
    if (!sent) return;
    this.redirected.delete(machine);
    const awayMs = nowMs - sent.atMs;
    if (awayMs > ANSWER_MS && awayMs < 4 * ANSWER_MS) this.unreachable.set(sent.to, nowMs + UNREACHABLE_MS);
  }

  /** Workers sent on so long ago say nothing by coming back. */
  forgetOld(nowMs: number): void {
    for (const [machine, sent] of this.redirected)
      if (nowMs - sent.atMs > 5 * ANSWER_MS) this.redirected.delete(machine);
  }

  private noteRedirect(machine: string, to: string, nowMs: number): void {
    this.redirected.set(machine, { to, atMs: nowMs });
    for (const server of this.servers) {
      if (server.node === to) server.machines++;
      else if (server.node === this.node) server.machines--;
    }
  }

  private reachableServers(nowMs: number): Grant["servers"] {
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
 * Where a worker that reports here should go instead; null: it stays. New ones go where there is room as soon as we have
 * a little more than our share; those that are here already when we have far more (the others may have been away), or
 * when we fall behind and another does not. Pure.
 */
export function chooseServer(facts: {
  node: string;
  leader: string | null;
  /** Of a controller's share of the workers, the leader's. */
  leaderShare: number;
  lagMs: number;
  isKnown: boolean;
  servers: Grant["servers"];
  /** The worker's. */
  zone: string;
  zoneOf: (node: string) => string;
}): string | null {
  // In their own zone, where there are controllers, so that a cut between zones takes nobody's controller away.
  const near = facts.servers.filter((server) => facts.zoneOf(server.node) === facts.zone);
  const servers = near.length > 0 ? near : facts.servers;
  const share = (node: string): number => (node === facts.leader ? facts.leaderShare : 1);
  let total = 0;
  let weight = 0;
  let mine: Grant["servers"][number] | null = null;
  let best: Grant["servers"][number] | null = null;
  for (const server of servers) {
    total += server.machines;
    weight += share(server.node);
    if (server.node === facts.node) mine = server;
    else if (
      server.lagMs <= SLOW_MS &&
      (!best || server.machines / share(server.node) < best.machines / share(best.node))
    )
      best = server;
  }
  if (best && near.length > 0 && facts.zoneOf(facts.node) !== facts.zone) return best.node;
  if (!best || !mine) return null;
  const fair = total / weight;
  if (facts.lagMs > SLOW_MS) return facts.lagMs >= best.lagMs * 3 ? best.node : null;
  const heavy =
    mine.machines > fair * share(mine.node) * (facts.isKnown ? 1.5 : 1.1) + (facts.isKnown ? 10 : 3);
  return heavy && best.machines < fair * share(best.node) * 0.97 ? best.node : null;
}
