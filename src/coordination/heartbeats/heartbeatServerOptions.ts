/** What a heartbeat server is sent, and what it uses of its controller. */
import type { Heartbeat } from "../../protocol/model.js";
import type { Grant, HeartbeatServerUpdate, PeerMessage } from "../../protocol/peers/messages.js";
import type { Clock } from "../../transport/clock.js";
import type { ServerResponse } from "../../transport/httpServer.js";
import type { LeadershipChange } from "../term/leadershipLease.js";
import type { HeartbeatServerLimits } from "./acknowledgementRights.js";

/** What a heartbeat server uses of its controller. */
export interface HeartbeatServerOptions {
  node: string;
  zone: string;
  /** Each controller's zone, ours included. */
  zones: ReadonlyMap<string, string>;
  /** Different in each process; below 2^48. */
  incarnation: number;
  clock: Clock;
  /** Workers' time between heartbeats, in seconds. */
  heartbeatS: number;
  /** A cancellation that was confirmed longer ago than this can concern no running task. */
  cancellationRetentionMs: number;
  sendToLeader: (leader: string, update: HeartbeatServerUpdate) => void;
  /** To another controller of our zone. */
  sendToNeighbour: (node: string, message: PeerMessage) => void;
  /** To the leader in this process, while it leads. */
  sendToLocalLeader: (update: HeartbeatServerUpdate) => void;
  /** For the first time in this process, heartbeats may be acknowledged. */
  onFirstGrant: () => void;
  /** A worker has seen the fencing token of a later term than this one. */
  onLaterTerm: (term: number) => void;
  /** How late this process runs what is due: its event loop's lag. */
  lagMs: () => number;
}

/** What a heartbeat server is sent by the other parts of its controller, and by its own timers. */
export type HeartbeatServerMessage =
  | { kind: "election"; change: LeadershipChange }
  | { kind: "heartbeat"; heartbeat: Heartbeat; reply: (response: ServerResponse) => void }
  /** From the leader, when another controller leads. */
  | { kind: "grant"; grant: Grant }
  /** From the leader in this process: which controllers serve workers. */
  | { kind: "servers"; servers: Grant["servers"] }
  /** From the leader in this process: what may be acknowledged. */
  | { kind: "limits"; limits: HeartbeatServerLimits }
  /** A user has been given the confirmation of a cancellation. */
  | { kind: "cancellation confirmed"; id: string; at: Date }
  /** A controller of our zone has no right to acknowledge and no leader. */
  | { kind: "isolated"; from: string; term: number }
  | { kind: "flush" }
  | { kind: "tick" };
