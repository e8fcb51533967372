/**
 * Links between controllers. Each controller connects to each of its peers, sends only on these outgoing links, and
 * receives only on incoming links.
 */
import * as net from "node:net";
import { splitAddress } from "./address.js";
import type { Clock, Timer } from "./clock.js";
import { encodeFrame, FrameDecoder, MAX_PAYLOAD_BYTES } from "./frames.js";

/** Timeout of a connection attempt: an attempt across a network partition hangs without an error. */
const CONNECT_TIMEOUT_MS = 2500;
/** Delay between the loss of an established link and the next connection attempt. */
const RECONNECT_DELAY_MS = 30;
/** Delay between a failed connection attempt and the next one. */
const CONNECT_RETRY_DELAY_MS = 400;
/** Maximum send buffer of a link; a longer one means that the peer has stopped reading. */
const MAX_UNSENT_BYTES = 4 * MAX_PAYLOAD_BYTES;

/** The name and address of another controller. */
export interface Peer {
  name: string;
  /** The address on which the peer accepts links, as `host:port`. */
  address: string;
}

/** Sends frames to other controllers. */
export interface PeerSender {
  /** Sends the payload if the link is up, and returns whether it did. An unreachable peer misses the message. */
  send(peer: string, payload: Buffer): boolean;
}

/** Handles the payloads of one incoming link, in order; returns null, or the reason why the link must be closed. */
export type FrameHandler = (payload: Buffer) => string | null;

/** The addresses and callbacks of the links. */
export interface PeerLinkOptions {
  /** The address on which this controller accepts links, as `host:port`. */
  listen: string;
  peers: Peer[];
  clock: Clock;
  /** The payload of the first frame on each outgoing link. */
  helloPayload: Buffer;
  /** Called for each incoming link; returns the handler of its payloads. */
  onIncomingLink: () => FrameHandler;
  /** Called when an established link was lost and the peer's host refuses a new one, with the number of other links. */
  onConnectionRefused: (peer: string, establishedLinks: number) => void;
  /** Called with the reason when this controller closes an incoming link. */
  onLinkRejected: (reason: string) => void;
  /** Called with exceptions from a frame handler and errors of the listening socket. */
  onError: (error: Error) => void;
}

/** The outgoing link to one peer. Owns the socket, and reconnects whenever the connection is lost. */
class OutgoingLink {
  isEstablished = false;
  private socket: net.Socket | null = null;
  private reconnectTimer: Timer | null = null;
  private isClosed = false;

  constructor(
    private readonly address: string,
    private readonly clock: Clock,
    private readonly helloPayload: Buffer,
    private readonly onConnectionRefused: () => void,
  ) {}

  /** `isReconnect` is true if an established connection was just lost; false initially and after a failed attempt. */
  connect(isReconnect: boolean): void {
    const socket = net.connect(splitAddress(this.address));
    this.socket = socket;
    socket.setNoDelay(true);
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      if (socket.connecting) socket.destroy();
    });
    socket.on("connect", () => {
      socket.setTimeout(0);
      socket.write(encodeFrame(this.helloPayload));
      this.isEstablished = true;
    });
    // Peers don't send on links that they accepted, but unread bytes would hide the end of the stream.
    socket.on("data", () => undefined);
    socket.on("error", (error: NodeJS.ErrnoException) => {
      if (isReconnect && error.code === "ECONNREFUSED") this.onConnectionRefused();
    });
    socket.on("close", () => this.scheduleReconnect());
  }

  send(payload: Buffer): boolean {
    if (!this.socket || !this.isEstablished) return false;
    // The message is dropped, not queued, because a late vote or grant is useless.
    if (payload.length > MAX_PAYLOAD_BYTES || this.socket.writableLength > MAX_UNSENT_BYTES) return false;
    this.socket.write(encodeFrame(payload));
    return true;
  }

  close(): void {
    this.isClosed = true;
    this.isEstablished = false;
    this.reconnectTimer?.cancel();
    this.socket?.destroy();
  }

  private scheduleReconnect(): void {
    if (this.isClosed) return;
    const wasEstablished = this.isEstablished;
    this.isEstablished = false;
    this.reconnectTimer = this.clock.after(wasEstablished ? RECONNECT_DELAY_MS : CONNECT_RETRY_DELAY_MS, () =>
      this.connect(wasEstablished),
    );
  }
}

/** Owns the listening socket and the outgoing links. Incoming links end with the peer's process or at a bad frame. */
export class PeerLinks implements PeerSender {
  private readonly outgoing = new Map<string, OutgoingLink>();
  private server: net.Server | null = null;

  constructor(private readonly options: PeerLinkOptions) {}

  /** Connects to all peers. Resolves once incoming links are accepted; rejects if the address can't be listened on. */
  start(): Promise<void> {
    const server = net.createServer((socket) => this.accept(socket));
    this.server = server;
    for (const peer of this.options.peers) this.connect(peer);
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

  private connect({ name, address }: Peer): void {
    const { clock, helloPayload, onConnectionRefused } = this.options;
    const link = new OutgoingLink(address, clock, helloPayload, () =>
      onConnectionRefused(name, this.countEstablishedLinks()),
    );
    this.outgoing.set(name, link);
    link.connect(false);
  }

  private countEstablishedLinks(): number {
    let count = 0;
    for (const link of this.outgoing.values()) if (link.isEstablished) count++;
    return count;
  }

  private accept(socket: net.Socket): void {
    const decoder = new FrameDecoder();
    const handler = this.options.onIncomingLink();
    socket.setNoDelay(true);
    socket.on("error", () => undefined);
    socket.on("data", (chunk: Buffer) => {
      const reason = this.receive(chunk, decoder, handler);
      if (reason === null) return;
      this.options.onLinkRejected(
        `link from ${socket.remoteAddress ?? "an unknown address"} closed: ${reason}`,
      );
      socket.destroy();
    });
  }

  /** Returns null, or the reason why the link must be closed; frames after the one at fault are dropped. */
  private receive(chunk: Buffer, decoder: FrameDecoder, handler: FrameHandler): string | null {
    const payloads = decoder.push(chunk);
    if (!payloads) return "frame exceeds the maximum length";
    for (const payload of payloads) {
      const reason = this.receivePayload(payload, handler);
      if (reason !== null) return reason;
    }
    return null;
  }

  private receivePayload(payload: Buffer, handler: FrameHandler): string | null {
    try {
      return handler(payload);
    } catch (error) {
      this.options.onError(error as Error);
      return "the frame handler failed";
    }
  }
}
