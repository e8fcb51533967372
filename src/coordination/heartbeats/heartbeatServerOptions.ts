/** The options and the mailbox messages of a heartbeat server. */
import type { Heartbeat } from "../../protocol/model.js";
import type { Grant, HeartbeatServerUpdate, PeerMessage } from "../../protocol/peers/messages.js";
import type { Clock } from "../../transport/clock.js";
import type { ServerResponse } from "../../transport/httpServer.js";
import type { LeadershipChange } from "../term/leadershipLease.js";
import type { HeartbeatServerLimits } from "./acknowledgementRights.js";

/** The settings and callbacks that a controller passes to its heartbeat server. */
export interface HeartbeatServerOptions {
  /** Name of this controller. */
  node: string;
  /** Zone of this controller. */
  zone: string;
  /** Zone by name of each controller, including this one. */
  controllerZones: ReadonlyMap<string, string>;
  /** Number that differs in each process; below 2^48. */
  incarnation: number;
  clock: Clock;
  /** Interval between a worker's heartbeats, in seconds. */
  heartbeatS: number;
  /** Time after which a confirmed cancellation can no longer concern a running task. */
  cancellationRetentionMs: number;
  /** Sends an update to the leader, which runs on another controller. */
  sendToLeader: (leader: string, update: HeartbeatServerUpdate) => void;
  /** Sends a message to another controller in the same zone. */
  sendToZonePeer: (node: string, message: PeerMessage) => void;
  /** Passes an update to the leader in this process while this controller leads. */
  sendToLocalLeader: (update: HeartbeatServerUpdate) => void;
  /** Called once, when this process may acknowledge heartbeats for the first time. */
  onFirstGrant: () => void;
  /** Called when a worker has seen the fencing token of a term later than `term`. */
  onLaterTerm: (term: number) => void;
  /** Event loop lag of this process, in milliseconds. */
  lagMs: () => number;
}

/** A message that other parts of the controller, or its own timers, post to a heartbeat server. */
export type HeartbeatServerMessage =
  | { kind: "election"; change: LeadershipChange }
  | { kind: "heartbeat"; heartbeat: Heartbeat; reply: (response: ServerResponse) => void }
  /** A grant from the leader while another controller leads. */
  | { kind: "grant"; grant: Grant }
  /** The controllers that serve workers, from the leader in this process. */
  | { kind: "servers"; servers: Grant["servers"] }
  /** The limits on acknowledgements, from the leader in this process. */
  | { kind: "limits"; limits: HeartbeatServerLimits }
  /** A cancellation was confirmed to a user. */
  | { kind: "cancellation confirmed"; id: string; at: Date }
  /** A controller of the same zone announces that it has no right to acknowledge and no leader. */
  | { kind: "isolated"; from: string; term: number }
  | { kind: "flush" }
  | { kind: "tick" };
