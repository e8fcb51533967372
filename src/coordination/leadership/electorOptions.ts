/** What an elector is given by its controller. */
import type { StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import type { PeerMessage } from "../../protocol/peers/messages.js";
import type { Clock } from "../../transport/clock.js";
import type { LeadershipChange } from "../term/leadershipLease.js";

/** What an elector uses of its controller. */
export interface ElectorOptions {
  node: string;
  /** Different in each process, so that a process does not take its former one's leadership for its own. */
  incarnation: string;
  /** The other controllers. */
  peers: string[];
  stateStore: StateStoreClient;
  clock: Clock;
  /** A message may get lost; nothing is said of it. */
  send: (peer: string, message: PeerMessage) => void;
  /** At least 0 and below 1. */
  random: () => number;
  onLeadershipChange: (change: LeadershipChange) => void;
  /** The leadership lease's time to live. */
  leaseMs: number;
  /** A controller that does not lead reads the leadership this often. */
  probeMs: number;
}
