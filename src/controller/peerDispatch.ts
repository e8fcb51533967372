/** Checks what comes in from other controllers, and hands each message to the part that it concerns. */
import type { Admission } from "../coordination/admission/admission.js";
import type { CommandRouter } from "../coordination/commands/commandRouter.js";
import type { HeartbeatServer } from "../coordination/heartbeats/heartbeatServer.js";
import type { Leader } from "../coordination/leader/leader.js";
import type { Elector } from "../coordination/leadership/elector.js";
import { decodePeerMessage } from "../protocol/peers/codec.js";
import { PEER_PROTOCOL_VERSION, type PeerMessage } from "../protocol/peers/messages.js";
import type { Clock } from "../transport/clock.js";
import type { Readiness } from "./readiness.js";

/** Where peers' messages go. */
export interface PeerDispatchContext {
  /** Names of the other controllers. */
  peers: string[];
  clock: Clock;
  admission: Admission;
  commandRouter: CommandRouter;
  elector: Elector;
  heartbeatServer: HeartbeatServer;
  leader: Leader;
  readiness: Readiness;
}

/** Takes the frames of one incoming link; returns why the link has to be closed, or null while all is in order. */
export type FrameHandler = (frame: Buffer) => string | null;

/** Dispatches the messages of other controllers. */
export class PeerDispatch {
  constructor(private readonly context: PeerDispatchContext) {}

  /** A link has come in. Its first frame names its peer, and every later one has to come from that peer. */
  acceptLink(): FrameHandler {
    let peer: string | null = null;
    return (frame) => {
      const message = decodePeerMessage(frame);
      if (!message) return "not a frame of ours";
      if (peer === null) {
        const problem = this.greetingProblem(message);
        if (problem === null) peer = message.from;
        return problem;
      }
      if (message.from !== peer) return `${peer} speaks for ${message.from}`;
      this.dispatch(message);
      return null;
    };
  }

  private greetingProblem(message: PeerMessage): string | null {
    if (message.kind !== "hello") return "no greeting";
    if (message.version !== PEER_PROTOCOL_VERSION)
      return `${message.from} speaks version ${message.version}, this node ${PEER_PROTOCOL_VERSION}`;
    if (!this.context.peers.includes(message.from)) return `${message.from} is no peer`;
    return null;
  }

  private dispatch(message: PeerMessage): void {
    const { admission, commandRouter, elector, heartbeatServer, leader } = this.context;
    switch (message.kind) {
      case "hello":
        break;
      case "task counts":
        admission.tell({ kind: "task counts", jobs: message.jobs });
        break;
      case "heartbeat server update":
        leader.tell({ kind: "heartbeat server update", update: message });
        break;
      case "grant":
        if (message.stateStoreReachable) this.context.readiness.leaderServed(this.context.clock.nowMs());
        heartbeatServer.tell({ kind: "grant", grant: message });
        break;
      case "isolated":
        heartbeatServer.tell({ kind: "isolated", from: message.from, term: message.term });
        break;
      case "deliveries":
        commandRouter.deliverForLeader(message.from, message.term, message.deliveries);
        break;
      case "delivery results":
        for (const result of message.results)
          leader.tell({ kind: "delivery finished", term: message.term, result });
        break;
      case "extension request":
      case "extension vote":
      case "term announcement":
      case "term acknowledgement":
        elector.tell({ kind: "peer", message });
        break;
    }
  }
}
