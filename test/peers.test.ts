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

test("a link whose frames are not in order is closed, with the reason, and changes nothing", async () => {
  const world = new World(31, { controllerCount: 5 });
  await world.run(5);
  const leader = world.leader!;
  const follower = world.controllers.names.find((name) => name !== leader)!;
  const other = world.controllers.names.find((name) => name !== leader && name !== follower)!;
  // Were it taken, the follower would take its sender for the leader of a term far ahead.
  const usurpation: PeerMessage = { kind: "term announcement", from: other, term: 900 };
  const usurp = encodePeerMessage(usurpation);
  const cases: { name: string; frames: Buffer[]; reason: RegExp }[] = [
    { name: "rubbish", frames: [Buffer.from("GET / HTTP/1.1")], reason: /not a frame/ },
    { name: "no greeting", frames: [usurp], reason: /no greeting/ },
    {
      name: "another version",
      frames: [hello(other, PEER_PROTOCOL_VERSION + 1), usurp],
      reason: /speaks version/,
    },
    { name: "nobody we know", frames: [hello("mallory")], reason: /no peer/ },
    { name: "in another's name", frames: [hello(leader), usurp], reason: /speaks for/ },
    { name: "cut short", frames: [hello(other), usurp.subarray(0, 8)], reason: /not a frame/ },
    {
      name: "bytes after the end",
      frames: [hello(other), Buffer.concat([usurp, Buffer.alloc(1)])],
      reason: /not a frame/,
    },
  ];
  for (const { name, frames, reason } of cases) {
    const receive = world.controllers.openPeerLink(follower);
    let closedFor: string | null = null;
    for (const frame of frames) closedFor ??= receive(frame);
    assert.match(closedFor ?? "taken", reason, name);
  }
  await world.run(10);
  assert.equal(world.leader, leader, "the same leader in the same term");
  const term = world.stateStore.entries.get("lead/term")?.value as { n: number };
  assert.equal(term.n, 1);
});

function peerLinks(options: Partial<PeerLinkOptions>): PeerLinks {
  return new PeerLinks({
    listen: "127.0.0.1:0",
    peers: [],
    clock: systemClock,
    greeting: Buffer.from("hi"),
    onLink: () => () => null,
    onRefused: () => undefined,
    onBadLink: () => undefined,
    onError: () => undefined,
    ...options,
  });
}

test("over real sockets a foreign or oversized frame closes the link, and a good one arrives", async () => {
  const port = await freePort();
  const received: string[] = [];
  const badLinks: string[] = [];
  const links = peerLinks({
    listen: `127.0.0.1:${port}`,
    onLink: () => (payload) => {
      if (payload.toString() !== "good") return "foreign";
      received.push(payload.toString());
      return null;
    },
    onBadLink: (reason) => badLinks.push(reason),
  });
  await links.start();
  const send = (bytes: Buffer): Promise<void> =>
    new Promise((resolve) => {
      const socket = net.connect({ host: "127.0.0.1", port }, () => socket.end(bytes));
      socket.on("error", () => undefined);
      socket.on("close", () => resolve());
    });
  await send(encodeFrame(Buffer.from("good")));
  await send(encodeFrame(Buffer.from("evil")));
  await send(Buffer.from([0xff, 0xff, 0xff, 0xff, 1]));
  links.close();
  assert.deepEqual(received, ["good"]);
  assert.equal(badLinks.length, 2, badLinks.join("; "));
});

test("a lost link is dialled again at once, and a refusal then is reported with the number of links left", async () => {
  const [first, second] = [await startPeer(), await startPeer()];
  const refused: { peer: string; establishedLinks: number }[] = [];
  const links = peerLinks({
    peers: [
      { name: "first", address: `127.0.0.1:${first.port}` },
      { name: "second", address: `127.0.0.1:${second.port}` },
    ],
    onRefused: (peer, establishedLinks) => refused.push({ peer, establishedLinks }),
  });
  await links.start();
  const expected = encodeFrame(Buffer.from("hi")).toString("hex");
  await until(() => first.received() === expected && second.received() === expected, "greetings");
  assert.equal(links.send("first", Buffer.from("vote")), true);
  assert.equal(links.send("nobody", Buffer.from("vote")), false);
  await until(
    () => first.received() === expected + encodeFrame(Buffer.from("vote")).toString("hex"),
    "a vote",
  );

  first.breakLinks();
  await until(() => first.received().endsWith(expected), "the greeting of a new link");
  assert.deepEqual(refused, []);

  first.stop();
  await until(() => refused.length > 0, "a refusal");
  assert.deepEqual(refused, [{ peer: "first", establishedLinks: 1 }]);
  assert.equal(links.send("first", Buffer.from("vote")), false);
  links.close();
  second.stop();
});

interface FakePeer {
  port: number;
  /** All bytes received on any link, as hex. */
  received(): string;
  breakLinks(): void;
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
  const breakLinks = (): void => sockets.forEach((socket) => socket.destroy());
  return {
    port: (server.address() as net.AddressInfo).port,
    received: () => Buffer.concat(parts).toString("hex"),
    breakLinks,
    stop: () => {
      server.close();
      breakLinks();
    },
  };
}

async function until(isTrue: () => boolean, what: string): Promise<void> {
  const PATIENCE_MS = 10_000;
  const deadlineMs = performance.now() + PATIENCE_MS;
  while (!isTrue()) {
    assert.ok(performance.now() < deadlineMs, `no ${what} within ${PATIENCE_MS} ms`);
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
