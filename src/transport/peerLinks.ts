/**
 * Links between controllers. Each controller dials each of its peers and only sends on the links that it dialled; it only
 * receives on those that come in.
 */
import * as net from "node:net";
import { splitAddress } from "./address.js";
import type { Clock, Timer } from "./clock.js";
import { encodeFrame, FrameDecoder, MAX_PAYLOAD_BYTES } from "./frames.js";

/** A connection attempt into a network partition hangs without an error: it is given up and made anew. */
const CONNECT_TIMEOUT_MS = 2500;
/** From the loss of an established link to the next attempt. */
const REDIAL_MS = 30;
/** From a failed attempt to the next one. */
const RETRY_MS = 400;
/** A link with more bytes unsent than this belongs to a peer that doesn't read. */
const MAX_UNSENT_BYTES = 4 * MAX_PAYLOAD_BYTES;

/** Another controller. */
export interface Peer {
  name: string;
  /** Host and port at which it accepts links. */
  address: string;
}

/** Sends frames to other controllers. */
export interface PeerPort {
  /** Sends if there is a link, and says whether; a peer that can't be reached just misses the message. */
  send(peer: string, payload: Buffer): boolean;
}

/** Takes the frames of one incoming link, in order; returns null, or the reason to close the link. */
export type LinkReceiver = (payload: Buffer) => string | null;

/** How links are opened, and who takes what comes in. */
export interface PeerLinkOptions {
  /** Host and port. */
  listen: string;
  peers: Peer[];
  clock: Clock;
  /** The first frame on each link that is dialled. */
  greeting: Buffer;
  /** Called for each incoming link. */
  onLink: () => LinkReceiver;
  /** An established link has closed, and the peer's host refuses a new one; so many other links are established. */
  onRefused: (peer: string, establishedLinks: number) => void;
  /** An incoming link was closed for this reason. */
  onBadLink: (reason: string) => void;
  /** Takes what a receiver throws, and errors of the listening socket. */
  onError: (error: Error) => void;
}

/** The outgoing link to one peer: owns its socket, and dials again whenever it is lost. */
class OutgoingLink {
  isEstablished = false;
  private socket: net.Socket | null = null;
  private redialTimer: Timer | null = null;
  private isClosed = false;

  constructor(
    private readonly address: string,
    private readonly clock: Clock,
    private readonly greeting: Buffer,
    private readonly onRefused: () => void,
  ) {}

  /** `isRedial`: the link was established until just now. */
  dial(isRedial: boolean): void {
    const socket = net.connect(splitAddress(this.address));
    this.socket = socket;
    socket.setNoDelay(true);
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      if (socket.connecting) socket.destroy();
    });
    socket.on("connect", () => {
      socket.setTimeout(0);
      socket.write(encodeFrame(this.greeting));
      this.isEstablished = true;
    });
    // Peers don't send on links that they accepted; unread bytes would keep the end of the link from being seen.
    socket.on("data", () => undefined);
    socket.on("error", (error: NodeJS.ErrnoException) => {
      if (isRedial && error.code === "ECONNREFUSED") this.onRefused();
    });
    socket.on("close", () => this.redial());
  }

  send(payload: Buffer): boolean {
    if (!this.socket || !this.isEstablished) return false;
    // Dropped, not queued: a vote or a grant that comes late is worth nothing.
    if (payload.length > MAX_PAYLOAD_BYTES || this.socket.writableLength > MAX_UNSENT_BYTES) return false;
    this.socket.write(encodeFrame(payload));
    return true;
  }

  close(): void {
    this.isClosed = true;
    this.isEstablished = false;
    this.redialTimer?.cancel();
    this.socket?.destroy();
  }

  private redial(): void {
    if (this.isClosed) return;
    const wasEstablished = this.isEstablished;
    this.isEstablished = false;
    this.redialTimer = this.clock.after(wasEstablished ? REDIAL_MS : RETRY_MS, () =>
      this.dial(wasEstablished),
    );
  }
}

/** Owns the listening socket and the outgoing links; an incoming link closes with its peer's process. */
export class PeerLinks implements PeerPort {
  private readonly outgoing = new Map<string, OutgoingLink>();
  private server: net.Server | null = null;

  constructor(private readonly options: PeerLinkOptions) {}

  /** Dials all peers and resolves once incoming links are accepted; rejects when the address can't be listened on. */
  start(): Promise<void> {
    const server = net.createServer((socket) => this.accept(socket));
    this.server = server;
    for (const peer of this.options.peers) this.dial(peer);
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(splitAddress(this.options.listen), () => {
        server.off("error", reject);
        server.on("error", this.options.onError);
        resolve();
      });
    });
  }

  send(peer: string, payload: Buffer): boolean {
    return this.outgoing.get(peer)?.send(payload) ?? false;
  }

  close(): void {
    for (const link of this.outgoing.values()) link.close();
    this.server?.close();
  }

  private dial({ name, address }: Peer): void {
    const { clock, greeting, onRefused } = this.options;
    const link = new OutgoingLink(address, clock, greeting, () => onRefused(name, this.establishedLinks()));
    this.outgoing.set(name, link);
    link.dial(false);
  }

  private establishedLinks(): number {
    let count = 0;
    for (const link of this.outgoing.values()) if (link.isEstablished) count++;
    return count;
  }

  private accept(socket: net.Socket): void {
    const decoder = new FrameDecoder();
    const receiver = this.options.onLink();
    socket.setNoDelay(true);
    socket.on("error", () => undefined);
    socket.on("data", (part: Buffer) => {
      const reason = this.receive(part, decoder, receiver);
      if (reason === null) return;
      this.options.onBadLink(`link from ${socket.remoteAddress ?? "somewhere"} closed: ${reason}`);
      socket.destroy();
    });
  }

  /** Null, or the reason to close the link; frames behind the one at fault are dropped. */
  private receive(part: Buffer, decoder: FrameDecoder, receiver: LinkReceiver): string | null {
    const payloads = decoder.push(part);
    if (!payloads) return "a frame longer than any of ours";
    for (const payload of payloads) {
      const reason = this.receivePayload(payload, receiver);
      if (reason !== null) return reason;
    }
    return null;
  }

  private receivePayload(payload: Buffer, receiver: LinkReceiver): string | null {
    try {
      return receiver(payload);
    } catch (error) {
      this.options.onError(error as Error);
      return "a frame that could not be dealt with";
    }
  }
}
