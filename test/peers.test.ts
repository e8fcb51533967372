import assert from "node:assert/strict";
import * as net from "node:net";
import test from "node:test";
import { encodePeerMessage } from "../src/protocol/peers/codec.js";
import { PEER_PROTOCOL_VERSION, type PeerMessage } from "../src/protocol/peers/messages.js";
import { systemClock } from "../src/transport/clock.js";
import { encodeFrame, PeerLinks } from "../src/transport/peerLinks.js";
import { World } from "./fakes/world.js";

test("a link whose frames are not in order is closed, with the reason, and changes nothing", async () => {
  const world = new World(31, { controllerCount: 5 });
  await world.run(5);
  const follower = world.controllers.names.find((n) => n !== world.leader)!;
  const other = world.controllers.names.find((n) => n !== world.leader && n !== follower)!;
  const hello = (from: string, version = PEER_PROTOCOL_VERSION): PeerMessage => ({
    kind: "hello",
    from,
    version,
  });
  // Were it taken, the follower would take its sender for the leader of a term far ahead.
  const usurp: PeerMessage = { kind: "term announcement", from: other, term: 900 };
  const cases: [string, Buffer[], RegExp][] = [
    ["rubbish", [Buffer.from("GET / HTTP/1.1")], /not a frame/],
    ["no greeting", [encodePeerMessage(usurp)], /no greeting/],
    [
      "another version",
      [encodePeerMessage(hello(other, PEER_PROTOCOL_VERSION + 1)), encodePeerMessage(usurp)],
      /speaks version/,
    ],
    ["nobody we know", [encodePeerMessage(hello("mallory"))], /no peer/],
    ["in another's name", [encodePeerMessage(hello(world.leader!)), encodePeerMessage(usurp)], /speaks for/],
    ["cut short", [encodePeerMessage(hello(other)), encodePeerMessage(usurp).subarray(0, 8)], /not a frame/],
    [
      "more behind it",
      [encodePeerMessage(hello(other)), Buffer.concat([encodePeerMessage(usurp), Buffer.alloc(1)])],
      /not a frame/,
    ],
  ];
  for (const [name, frames, want] of cases) {
    const take = world.controllers.openPeerLink(follower);
    let reason: string | null = null;
    for (const f of frames) reason ??= take(f);
    assert.match(reason ?? "taken", want, name);
  }
  const before = world.leader;
  await world.run(10);
  assert.equal(world.leader, before, "the same leader in the same term");
  const term = world.stateStore.entries.get("lead/term")?.value as { n: number };
  assert.equal(term.n, 1);
});

test("over real sockets: a foreign or oversized frame closes the link, a good one arrives", async () => {
  const port = await freePort();
  const got: string[] = [];
  const bad: string[] = [];
  const links = new PeerLinks({
    listen: `127.0.0.1:${port}`,
    peers: [],
    clock: systemClock,
    greeting: Buffer.from("hi"),
    onLink: () => (payload) => {
      if (payload.toString() !== "good") return "foreign";
      got.push(payload.toString());
      return null;
    },
    onRefused: () => undefined,
    onBadLink: (reason) => bad.push(reason),
    onError: () => undefined,
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
  assert.deepEqual(got, ["good"]);
  assert.equal(bad.length, 2, bad.join("; "));
});

function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = net.createServer().listen(0, "127.0.0.1", () => {
      const { port } = server.address() as net.AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
