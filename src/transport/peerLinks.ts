import * as net from "node:net";
import type { Clock, Timer } from "./clock.js";
import { splitAddress } from "./address.js";

/** Frames are a 4-byte big-endian length, then that many bytes. */
const HEADER = 4;
const MAX_FRAME = 256 * 1024;

/** Splits a byte stream into frames. */
export class FrameDecoder {
  private held: Buffer = Buffer.alloc(0);

  /** Returns the whole frames so far, or null when the stream makes no sense. */
  push(part: Buffer): Buffer[] | null {
    this.held = this.held.length === 0 ? part : Buffer.concat([this.held, part]);
    const frames: Buffer[] = [];
    while (this.held.length >= HEADER) {
      const length = this.held.readUInt32BE(0);
      if (length > MAX_FRAME) return null;
      if (this.held.length < HEADER + length) break;
      frames.push(this.held.subarray(HEADER, HEADER + length));
      this.held = this.held.subarray(HEADER + length);
    }
    return frames;
  }
}

export function encodeFrame(payload: Buffer): Buffer {
  const out = Buffer.allocUnsafe(HEADER + payload.length);
  out.writeUInt32BE(payload.length, 0);
  payload.copy(out, HEADER);
  return out;
}

export interface PeerPort {
  /** Sends if there is a link, and says whether; a peer that can't be reached just misses the message. */
  send(peer: string, payload: Buffer): boolean;
}

export interface PeerLinkOptions {
  listen: string;
  peers: { name: string; address: string }[];
  clock: Clock;
  /** The first frame on each of our links. */
  greeting: Buffer;
  /** Called for each link that comes in; what it returns takes the frames, and gives a reason to close the link. */
  onLink: () => (payload: Buffer) => string | null;
  /** A link that stood has closed, and the peer's host refuses a new one; so many other links stand. */
  onRefused: (peer: string, standing: number) => void;
  onBadLink: (reason: string) => void;
  onError: (error: Error) => void;
}

/** One outgoing connection to each peer; whatever comes in is handed on. */
export class PeerLinks implements PeerPort {
  private readonly out = new Map<string, net.Socket>();
  private readonly retries = new Set<Timer>();
  private server: net.Server | null = null;
  private closed = false;

  constructor(private readonly options: PeerLinkOptions) {}

  start(): Promise<void> {
    const server = net.createServer((socket) => this.read(socket));
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
    const socket = this.out.get(peer);
    // A link that doesn't drain belongs to a silent peer: a late confirmation is worth nothing, so drop.
    if (!socket || payload.length > MAX_FRAME || socket.writableLength > 4 * MAX_FRAME) return false;
    socket.write(encodeFrame(payload));
    return true;
  }

  close(): void {
    this.closed = true;
    for (const timer of this.retries) timer.cancel();
    for (const socket of this.out.values()) socket.destroy();
    this.server?.close();
  }

  private dial(peer: { name: string; address: string }, afterLoss = false): void {
    if (this.closed) return;
    let stood = false;
    const socket = net.connect(splitAddress(peer.address));
    socket.setNoDelay(true);
    // A connection attempt through a cut hangs without an error: give it up and try anew.
    socket.setTimeout(2500, () => {
      if (socket.connecting) socket.destroy();
    });
    socket.on("connect", () => {
      socket.setTimeout(0);
      stood = true;
      socket.write(encodeFrame(this.options.greeting));
      this.out.set(peer.name, socket);
    });
    socket.on("data", () => undefined);
    socket.on("error", (error: NodeJS.ErrnoException) => {
      if (afterLoss && error.code === "ECONNREFUSED") this.options.onRefused(peer.name, this.out.size);
    });
    socket.on("close", () => {
      if (this.out.get(peer.name) === socket) this.out.delete(peer.name);
      const timer = this.options.clock.after(stood ? 30 : 400, () => {
        this.retries.delete(timer);
        this.dial(peer, stood);
      });
      this.retries.add(timer);
    });
  }

  private read(socket: net.Socket): void {
    const reader = new FrameDecoder();
    const take = this.options.onLink();
    const refuse = (reason: string): void => {
      this.options.onBadLink(`link from ${socket.remoteAddress ?? "somewhere"} closed: ${reason}`);
      socket.destroy();
    };
    socket.setNoDelay(true);
    socket.on("error", () => undefined);
    socket.on("data", (part: Buffer) => {
      const frames = reader.push(part);
      if (!frames) {
        refuse("a frame longer than any of ours");
        return;
      }
      for (const payload of frames) {
        let reason: string | null;
        try {
          reason = take(payload);
        } catch (error) {
          this.options.onError(error as Error);
          reason = "a frame that could not be dealt with";
        }
        if (reason !== null) {
          refuse(reason);
          return;
        }
      }
    });
  }
}
