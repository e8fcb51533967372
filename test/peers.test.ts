import assert from "node:assert/strict";
import * as net from "node:net";
import test from "node:test";
import { encodePeerMessage } from "../src/protocol/peers/codec.js";
import { PEER_PROTOCOL_VERSION, type PeerMessage } from "../src/protocol/peers/messages.js";
import { systemClock } from "../src/transport/clock.js";
import { encodeFrame } from "../src/transport/frames.js";
import { PeerLinks, type PeerLinkOptions } from "../src/transport/peerLinks.js";
import { World } from "./fakes/world.js";

function hello(from: string, version = PEER_PROTOCOL_VERSION): Buffer {
  return encodePeerMessage({ kind: "hello", from, version });
}

test("a link with an invalid frame is closed with the reason, and the frame has no effect", async () => {
  const world = new World(31, { controllerCount: 5 });
  await world.run(5);
  const leader = world.leader!;
  const follower = world.controllers.names.find((name) => name !== leader)!;
  const other = world.controllers.names.find((name) => name !== leader && name !== follower)!;
  // If the follower accepted this announcement, it would treat the sender as the leader of a much later term.
  const announcement: PeerMessage = { kind: "term announcement", from: other, term: 900 };
  const announcementFrame = encodePeerMessage(announcement);
  const cases: { name: string; frames: Buffer[]; reason: RegExp }[] = [
    { name: "data that is not a frame", frames: [Buffer.from("GET / HTTP/1.1")], reason: /not a frame/ },
    {
      name: "no hello message",
      frames: [announcementFrame],
      reason: /the first frame must be a hello message/,
    },
    {
      name: "another protocol version",
      frames: [hello(other, PEER_PROTOCOL_VERSION + 1), announcementFrame],
      reason: /protocol version mismatch/,
    },
    { name: "an unknown sender", frames: [hello("mallory")], reason: /unknown peer/ },
    {
      name: "a message in another controller's name",
      frames: [hello(leader), announcementFrame],
      reason: /sender mismatch/,
    },
    {
      name: "a truncated message",
      frames: [hello(other), announcementFrame.subarray(0, 8)],
      reason: /not a frame/,
    },
    {
      name: "bytes after the end of the message",
      frames: [hello(other), Buffer.concat([announcementFrame, Buffer.alloc(1)])],
      reason: /not a frame/,
    },
  ];
  for (const { name, frames, reason } of cases) {
    const receive = world.controllers.openPeerLink(follower);
    let closeReason: string | null = null;
    for (const frame of frames) closeReason ??= receive(frame);
    assert.match(closeReason ?? "accepted", reason, name);
  }
  await world.run(10);
  assert.equal(world.leader, leader, "the leader must not change");
  const term = world.stateStore.entries.get("lead/term")?.value as { n: number };
  assert.equal(term.n, 1);
});

function peerLinks(options: Partial<PeerLinkOptions>): PeerLinks {
  return new PeerLinks({
    listen: "127.0.0.1:0",
    peers: [],
    clock: systemClock,
    helloPayload: Buffer.from("hi"),
    onIncomingLink: () => () => null,
    onConnectionRefused: () => undefined,
    onLinkRejected: () => undefined,
    onError: () => undefined,
    ...options,
  });
}

test("over real sockets, an invalid or oversized frame closes the link, and a valid frame is received", async () => {
  const port = await freePort();
  const received: string[] = [];
  const badLinks: string[] = [];
  const links = peerLinks({
    listen: `127.0.0.1:${port}`,
    onIncomingLink: () => (payload) => {
      if (payload.toString() !== "valid") return "invalid";
      received.push(payload.toString());
      return null;
    },
    onLinkRejected: (reason) => badLinks.push(reason),
  });
  await links.start();
  const send = (bytes: Buffer): Promise<void> =>
    new Promise((resolve) => {
      const socket = net.connect({ host: "127.0.0.1", port }, () => socket.end(bytes));
      socket.on("error", () => undefined);
      socket.on("close", () => resolve());
    });
  await send(encodeFrame(Buffer.from("valid")));
  await send(encodeFrame(Buffer.from("other")));
  await send(Buffer.from([0xff, 0xff, 0xff, 0xff, 1]));
  links.close();
  assert.deepEqual(received, ["valid"]);
  assert.equal(badLinks.length, 2, badLinks.join("; "));
});

test("a lost link is reconnected immediately, and a refused reconnection is reported with the number of links left", async () => {
  const [first, second] = [await startPeer(), await startPeer()];
  const refused: { peer: string; establishedLinks: number }[] = [];
  const links = peerLinks({
    peers: [
      { name: "first", address: `127.0.0.1:${first.port}` },
      { name: "second", address: `127.0.0.1:${second.port}` },
    ],
    onConnectionRefused: (peer, establishedLinks) => refused.push({ peer, establishedLinks }),
  });
  await links.start();
  const expected = encodeFrame(Buffer.from("hi")).toString("hex");
  await waitUntil(
    () => first.received() === expected && second.received() === expected,
    "hello frame on both links",
  );
  assert.equal(links.send("first", Buffer.from("vote")), true);
  assert.equal(links.send("nobody", Buffer.from("vote")), false);
  await waitUntil(
    () => first.received() === expected + encodeFrame(Buffer.from("vote")).toString("hex"),
    "vote on the first link",
  );

  first.closeLinks();
  await waitUntil(() => first.received().endsWith(expected), "hello frame on a new link");
  assert.deepEqual(refused, []);

  first.stop();
  await waitUntil(() => refused.length > 0, "report of a refused connection");
  assert.deepEqual(refused, [{ peer: "first", establishedLinks: 1 }]);
  assert.equal(links.send("first", Buffer.from("vote")), false);
  links.close();
  second.stop();
});

interface FakePeer {
  port: number;
  /** Returns all bytes that were received on any link, as hex. */
  received(): string;
  closeLinks(): void;
  stop(): void;
}

async function startPeer(): Promise<FakePeer> {
  const sockets = new Set<net.Socket>();
  const parts: Buffer[] = [];
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on("data", (part: Buffer) => parts.push(part));
    socket.on("error", () => undefined);
    socket.on("close", () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const closeLinks = (): void => sockets.forEach((socket) => socket.destroy());
  return {
    port: (server.address() as net.AddressInfo).port,
    received: () => Buffer.concat(parts).toString("hex"),
    closeLinks,
    stop: () => {
      server.close();
      closeLinks();
    },
  };
}

async function waitUntil(condition: () => boolean, description: string): Promise<void> {
  const TIMEOUT_MS = 10_000;
  const deadlineMs = performance.now() + TIMEOUT_MS;
  while (!condition()) {
    assert.ok(performance.now() < deadlineMs, `no ${description} within ${TIMEOUT_MS} ms`);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = net.createServer().listen(0, "127.0.0.1", () => {
      const { port } = server.address() as net.AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
