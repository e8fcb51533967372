/** The dependencies and settings of an elector. */
import type { StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import type { PeerMessage } from "../../protocol/peers/messages.js";
import type { Clock } from "../../transport/clock.js";
import type { LeadershipChange } from "../term/leadershipLease.js";

/** The dependencies that the controller passes to its elector. */
export interface ElectorOptions {
  /** Name of this controller. */
  node: string;
  /** Unique per process, so that a process does not take the leadership of its predecessor on this node for its own. */
  incarnation: string;
  /** Names of the other controllers. */
  peers: string[];
  stateStore: StateStoreClient;
  clock: Clock;
  /** Sends a message without a delivery guarantee; a lost message is not reported. */
  send: (peer: string, message: PeerMessage) => void;
  /** Returns a number of at least 0 and below 1. */
  random: () => number;
  /** Called when the known leader changes, or a time limit of this controller's leadership lease. */
  onLeadershipChange: (change: LeadershipChange) => void;
  /** Time to live of the leadership lease. */
  leaseMs: number;
  /** Interval at which a controller that does not lead reads the leadership record. */
  pollIntervalMs: number;
}
