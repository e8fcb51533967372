import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { CommandRouter } from "../src/coordination/commands/commandRouter.js";
import { CommandSender } from "../src/coordination/commands/commandSender.js";
import type { Command, CommandDelivery, DeliveryResult } from "../src/protocol/model.js";
import type { PeerMessage } from "../src/protocol/peers/messages.js";
import { type ClientResponse, NoResponseError } from "../src/transport/httpClient.js";
import { SimClock } from "./fakes/clock.js";

const TERM = 4;

function delivery(machine: string, commandCount = 1): CommandDelivery {
  const command: Command = { op: "reap", jobId: "job-1", task: 0, attempt: 1 };
  const commands = Array.from({ length: commandCount }, () => command);
  return { machine, address: `${machine}:80`, fencingToken: 5, epoch: 1, commands };
}

/** A router with fake peers and workers that record what they are sent. */
class RouterFixture {
  readonly clock = new SimClock();
  /** Messages to other controllers, each written as "peer kind machine,machine". */
  readonly sent: string[] = [];
  /** Addresses of the workers to which this controller sent commands directly. */
  readonly requests: string[] = [];
  readonly results: DeliveryResult[] = [];
  isLinkUp = true;
  respond: () => Promise<ClientResponse> = () => Promise.resolve({ status: 200, body: null });
  readonly router = new CommandRouter(
    "n1",
    this.clock,
    new CommandSender(
      {
        call: (address) => {
          this.requests.push(address);
          return this.respond();
        },
      },
      1000,
    ),
    (peer, message) => this.send(peer, message),
    (_term, result) => this.results.push(result),
  );

  private send(peer: string, message: PeerMessage): boolean {
    if (!this.isLinkUp) return false;
    const items =
      message.kind === "deliveries"
        ? message.deliveries
        : message.kind === "delivery results"
          ? message.results
          : [];
    this.sent.push(`${peer} ${message.kind} ${items.map(({ machine }) => machine).join(",")}`);
    return true;
  }
}

describe("deliveries", () => {
  test("through this controller, or through none, are sent to the worker at once", async () => {
    const { router, clock, requests, sent } = new RouterFixture();
    router.deliver(TERM, null, delivery("host-1"));
    router.deliver(TERM, "n1", delivery("host-2"));
    await clock.advance(0);
    assert.deepEqual([requests, sent], [["host-1:80", "host-2:80"], []]);
  });

  test("through the same controller in the same term share a frame", async () => {
    const { router, clock, sent } = new RouterFixture();
    router.deliver(TERM, "n2", delivery("host-1"));
    router.deliver(TERM, "n3", delivery("host-2"));
    router.deliver(TERM, "n2", delivery("host-3"));
    await clock.advance(4);
    assert.deepEqual(sent, []);
    await clock.advance(1);
    assert.deepEqual(sent, ["n2 deliveries host-1,host-3", "n3 deliveries host-2"]);
    router.deliver(TERM, "n2", delivery("host-4"));
    router.deliver(TERM + 1, "n2", delivery("host-5"));
    await clock.advance(5);
    assert.deepEqual(sent.slice(2), ["n2 deliveries host-4", "n2 deliveries host-5"]);
  });

  test("with many commands are split into several frames", async () => {
    const { router, clock, sent } = new RouterFixture();
    router.deliver(TERM, "n2", delivery("host-1", 1000));
    router.deliver(TERM, "n2", delivery("host-2", 499));
    router.deliver(TERM, "n2", delivery("host-3", 1));
    await clock.advance(5);
    assert.deepEqual(sent, ["n2 deliveries host-1,host-2", "n2 deliveries host-3"]);
  });

  test("through a controller without a link are sent directly to the worker", async () => {
    const fixture = new RouterFixture();
    fixture.isLinkUp = false;
    fixture.router.deliver(TERM, "n2", delivery("host-1"));
    await fixture.clock.advance(6);
    assert.deepEqual(fixture.requests, ["host-1:80"]);
    assert.equal(fixture.results.length, 1);
  });

  test("on behalf of a leader return their results in frames of at most forty", async () => {
    const { router, clock, sent, results } = new RouterFixture();
    const machines = Array.from({ length: 41 }, (_, number) => `host-${number}`);
    router.deliverForLeader(
      "n0",
      TERM,
      machines.map((machine) => delivery(machine)),
    );
    await clock.advance(25);
    assert.deepEqual(sent, [
      `n0 delivery results ${machines.slice(0, 40).join(",")}`,
      "n0 delivery results host-40",
    ]);
    assert.deepEqual(results, []);
  });
});

describe("the result of a delivery", () => {
  const cases: {
    name: string;
    respond: () => Promise<ClientResponse>;
    status: number | null;
    neverSent: boolean;
  }[] = [
    {
      name: "contains the response's status",
      respond: () => Promise.resolve({ status: 409, body: null }),
      status: 409,
      neverSent: false,
    },
    {
      name: "reports that nothing was sent when the connection failed",
      respond: () => Promise.reject(new NoResponseError("refused", true)),
      status: null,
      neverSent: true,
    },
    {
      name: "does not rule out that commands were sent when the response timed out",
      respond: () => Promise.reject(new NoResponseError("timeout", false)),
      status: null,
      neverSent: false,
    },
  ];
  for (const { name, respond, status, neverSent } of cases)
    test(name, async () => {
      const fixture = new RouterFixture();
      fixture.respond = respond;
      fixture.router.deliver(TERM, null, delivery("host-1"));
      await fixture.clock.advance(0);
      const result = { machine: "host-1", fencingToken: 5, status, neverSent, heartbeat: null };
      assert.deepEqual(fixture.results, [result]);
    });

  test("reports that nothing was sent while another delivery to the machine is in flight", async () => {
    const fixture = new RouterFixture();
    fixture.respond = () => new Promise(() => undefined);
    fixture.router.deliver(TERM, null, delivery("host-1"));
    fixture.router.deliver(TERM, null, delivery("host-1"));
    await fixture.clock.advance(0);
    assert.equal(fixture.requests.length, 1);
    assert.deepEqual(
      fixture.results.map(({ status, neverSent }) => [status, neverSent]),
      [[null, true]],
    );
  });
});
