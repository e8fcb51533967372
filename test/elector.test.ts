/** Electors on a simulated state store and clock, without the rest of a controller. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { StateStoreClient } from "../src/bookkeeping/stateStoreClient.js";
import { Elector } from "../src/coordination/leadership/elector.js";
import type { ElectionPeerMessage } from "../src/coordination/leadership/electorMessages.js";
import type { LeadershipChange } from "../src/coordination/term/leadershipLease.js";
import { SimClock } from "./fakes/clock.js";
import { SimNet } from "./fakes/net.js";
import { SimStateStore } from "./fakes/stateStore.js";

const LEASE_MS = 3000;
const PROBE_MS = 500;
const STORE = "state:1";
const NO_RANDOM = (): number => 0.5;

class Election {
  readonly clock = new SimClock();
  readonly stateStore: SimStateStore;
  /** What each controller last knew of the leadership. */
  readonly changes = new Map<string, LeadershipChange>();
  /** Kinds of messages sent, with sender and receiver. */
  readonly sent: string[] = [];
  private readonly net = new SimNet(this.clock, NO_RANDOM);
  private readonly electors = new Map<string, Elector>();
  private incarnations = 0;

  constructor(readonly names: string[]) {
    this.stateStore = new SimStateStore(this.clock, this.net, NO_RANDOM, STORE);
  }

  start(name: string): void {
    const elector = new Elector({
      node: name,
      incarnation: `${name}-${++this.incarnations}`,
      peers: this.names.filter((other) => other !== name),
      stateStore: new StateStoreClient(
        this.net.caller(name, () => true),
        this.clock,
        STORE,
        {
          rps: 1000,
          writeRps: 1000,
          controllers: this.names.length,
        },
      ),
      clock: this.clock,
      send: (peer, message) => {
        this.sent.push(`${name}>${peer} ${message.kind}`);
        this.clock.after(1, () =>
          this.electors.get(peer)?.tell({ kind: "peer", message: message as ElectionPeerMessage }),
        );
      },
      random: NO_RANDOM,
      onLeadershipChange: (change) => this.changes.set(name, change),
      leaseMs: LEASE_MS,
      probeMs: PROBE_MS,
    });
    this.electors.set(name, elector);
    elector.start();
  }

  elector(name: string): Elector {
    return this.electors.get(name)!;
  }

  /** The process is gone; what it sent still arrives. */
  crash(name: string): void {
    this.elector(name).stop();
    this.electors.delete(name);
  }

  async run(ms: number): Promise<void> {
    await this.clock.advance(ms);
  }

  lease(name: string): LeadershipChange["lease"] {
    return this.changes.get(name)?.lease ?? null;
  }

  get leaders(): string[] {
    return this.names.filter((name) => this.lease(name) !== null);
  }
}

/** Starts n0 first, so that it leads, then the others. */
async function electionLedByFirst(names: string[]): Promise<Election> {
  const election = new Election(names);
  election.start(names[0]!);
  await election.run(100);
  for (const name of names.slice(1)) election.start(name);
  await election.run(1500);
  assert.deepEqual(election.leaders, [names[0]]);
  return election;
}

describe("an election", () => {
  test("has one leader, whom all know, and whose earlier ones are silent once a majority has confirmed it", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    const { lease, leader, term } = election.changes.get("n0")!;
    assert.deepEqual([leader, term, lease?.term], ["n0", 1, 1]);
    assert.ok(lease!.earlierLeadersSilentFromMs < Infinity);
    for (const name of ["n1", "n2"])
      assert.deepEqual(election.changes.get(name), { lease: null, leader: "n0", term: 1 });
  });

  test("gives a sole controller its majority at once", async () => {
    const election = await electionLedByFirst(["n0"]);
    assert.ok(election.lease("n0")!.earlierLeadersSilentFromMs < Infinity);
    assert.deepEqual(election.sent, []);
  });

  test("passes to another one after the lease of a leader that crashed", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    election.crash("n0");
    election.changes.delete("n0");
    await election.run(LEASE_MS + 2 * PROBE_MS + 500);
    assert.equal(election.leaders.length, 1);
    assert.equal(election.lease(election.leaders[0]!)!.term, 2);
  });

  test("passes at once to the new process of the leader's node: its former one holds nothing", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    election.crash("n0");
    election.changes.delete("n0");
    election.start("n0");
    await election.run(300);
    assert.equal(election.lease("n0")?.term, 2);
  });

  test("passes at once when a leader's host refuses connections while others are reachable", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    election.crash("n0");
    election.changes.delete("n0");
    election.elector("n1").tell({ kind: "peer refused", peer: "n0", othersReachable: true });
    await election.run(300);
    assert.equal(election.lease("n1")?.term, 2);
  });
});

describe("a leader", () => {
  test("renews its lease", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    await election.run(10 * LEASE_MS);
    assert.deepEqual(election.leaders, ["n0"]);
    assert.ok(election.lease("n0")!.writeUntilMs > election.clock.nowMs());
    assert.equal(election.lease("n0")!.term, 1);
  });

  test("may acknowledge on, but not write, in an outage that a majority confirms", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    election.stateStore.startOutage(30_000);
    await election.run(15_000);
    const lease = election.lease("n0")!;
    const nowMs = election.clock.nowMs();
    assert.ok(lease.writeUntilMs < nowMs, "no right to write");
    assert.ok(lease.acknowledgeUntilMs > nowMs, "the right to acknowledge");
    assert.ok(lease.acknowledgeUntilMs <= nowMs + 2000, "for a short time");
  });

  test("resigns when the state store refuses it alone: nobody confirms an extension", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    election.stateStore.refuseHost("n0", 30_000);
    await election.run(10_000);
    assert.equal(election.lease("n0"), null);
    assert.equal(election.leaders.length, 1);
    assert.equal(election.lease(election.leaders[0]!)!.term, 2);
  });

  test("resigns for a later term, and only for one", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    election.elector("n0").tell({ kind: "deposed", term: 7 });
    await election.run(1);
    assert.equal(election.lease("n0")?.term, 1, "not its own term");
    election.elector("n0").tell({
      kind: "peer",
      message: { kind: "term announcement", from: "n1", term: 2 },
    });
    await election.run(1);
    assert.deepEqual(election.changes.get("n0"), { lease: null, leader: null, term: 0 });
  });

  test("that can't keep up steps down, and leaves the next term to others", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    election.elector("n0").tell({ kind: "lagging", term: 1 });
    await election.run(5000);
    assert.ok(!election.leaders.includes("n0"));
    assert.equal(election.leaders.length, 1);
  });

  test("that has stepped down leads again after 20 s when nobody else does", async () => {
    const election = await electionLedByFirst(["n0"]);
    election.elector("n0").tell({ kind: "lagging", term: 1 });
    await election.run(19_900);
    assert.deepEqual(election.leaders, []);
    await election.run(1000);
    assert.equal(election.lease("n0")?.term, 2);
  });

  test("that sees all hosts refuse writes its record every 300 ms for 4 s", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    const versionOf = (): number => election.stateStore.entries.get("lead/hold")!.version;
    const versions = new Set<number>();
    election.elector("n0").tell({ kind: "peer refused", peer: "n1", othersReachable: false });
    for (let step = 0; step < 600; step++) {
      await election.run(10);
      versions.add(versionOf());
    }
    assert.equal(versions.size, 14, "a write at 0, 300 … 3900 ms");
  });
});
