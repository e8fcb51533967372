/** Validates frames from other controllers and dispatches each message to the component that handles it. */
import type { Admission } from "../coordination/admission/admission.js";
import type { CommandRouter } from "../coordination/commands/commandRouter.js";
import type { HeartbeatServer } from "../coordination/heartbeats/heartbeatServer.js";
import type { Leader } from "../coordination/leader/leader.js";
import type { Elector } from "../coordination/leadership/elector.js";
import { decodePeerMessage } from "../protocol/peers/codec.js";
import { PEER_PROTOCOL_VERSION, type PeerMessage } from "../protocol/peers/messages.js";
import type { Clock } from "../transport/clock.js";
import type { Readiness } from "./readiness.js";
import { quoteName } from "../transport/log.js";

/** The known peers and the components that handle their messages. */
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

/** Handles a frame of one incoming link; returns the reason to close the link, or null if the frame is valid. */
export type FrameHandler = (frame: Buffer) => string | null;

/** Dispatches peer messages. A link is closed unless its first frame is a valid hello message and all have one sender. */
export class PeerDispatch {
  constructor(private readonly context: PeerDispatchContext) {}

  /** Returns the handler for a new link. Its first frame names the peer, which has to be the sender of all later frames. */
  acceptLink(): FrameHandler {
    let peer: string | null = null;
    return (frame) => {
      const message = decodePeerMessage(frame);
      if (!message) return "not a frame of the peer protocol";
      if (peer === null) {
        const rejectionReason = this.helloRejectionReason(message);
        if (rejectionReason === null) peer = message.from;
        return rejectionReason;
      }
      if (message.from !== peer)
        return `sender mismatch: link of ${quoteName(peer)}, message from ${quoteName(message.from)}`;
      this.dispatch(message);
      return null;
    };
  }

  private helloRejectionReason(message: PeerMessage): string | null {
    if (message.kind !== "hello") return "the first frame must be a hello message";
    if (message.version !== PEER_PROTOCOL_VERSION)
      return `protocol version mismatch: ${quoteName(message.from)} uses version ${message.version}, this node uses version ${PEER_PROTOCOL_VERSION}`;
    if (!this.context.peers.includes(message.from)) return `unknown peer ${quoteName(message.from)}`;
    return null;
  }

  private dispatch(message: PeerMessage): void {
    const { admission, commandRouter, elector, heartbeatServer, leader } = this.context;
    switch (message.kind) {
      case "hello":
        break;
      case "task counts":
        admission.post({ kind: "task counts", jobs: message.jobs });
        break;
      case "heartbeat server update":
        leader.post({ kind: "heartbeat server update", update: message });
        break;
      case "grant":
        if (message.stateStoreReachable)
          this.context.readiness.recordLeaderServed(this.context.clock.nowMs());
        heartbeatServer.post({ kind: "grant", grant: message });
        break;
      case "isolated":
        heartbeatServer.post({ kind: "isolated", from: message.from, term: message.term });
        break;
      case "deliveries":
        commandRouter.deliverForLeader(message.from, message.term, message.deliveries);
        break;
      case "delivery results":
        for (const result of message.results)
          leader.post({ kind: "delivery finished", term: message.term, result });
        break;
      case "extension request":
      case "extension vote":
      case "term announcement":
      case "term acknowledgement":
        elector.post({ kind: "peer", message });
        break;
    }
  }
}
