/** Tests of electors on a simulated state store, network and clock, without the other components of a controller. */
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
const POLL_INTERVAL_MS = 500;
const STORE = "state:1";
const FIXED_RANDOM = (): number => 0.5;

/** Electors of several controllers that share a simulated state store. */
class SimulatedElection {
  readonly clock = new SimClock();
  readonly stateStore: SimStateStore;
  /** The last change that each controller's elector reported. */
  readonly changes = new Map<string, LeadershipChange>();
  /** All messages sent, as "sender>receiver kind". */
  readonly sent: string[] = [];
  private readonly net = new SimNet(this.clock, FIXED_RANDOM);
  private readonly electors = new Map<string, Elector>();
  private incarnations = 0;

  constructor(readonly names: string[]) {
    this.stateStore = new SimStateStore(this.clock, this.net, FIXED_RANDOM, STORE);
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
          this.electors.get(peer)?.post({ kind: "peer", message: message as ElectionPeerMessage }),
        );
      },
      random: FIXED_RANDOM,
      onLeadershipChange: (change) => this.changes.set(name, change),
      leaseMs: LEASE_MS,
      pollIntervalMs: POLL_INTERVAL_MS,
    });
    this.electors.set(name, elector);
    elector.start();
  }

  elector(name: string): Elector {
    return this.electors.get(name)!;
  }

  /** Stops the controller's process; messages that it has sent are still delivered. */
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

/** Starts the first controller alone, so that it becomes the leader, and then the others. */
async function electionLedByFirst(names: string[]): Promise<SimulatedElection> {
  const election = new SimulatedElection(names);
  election.start(names[0]!);
  await election.run(100);
  for (const name of names.slice(1)) election.start(name);
  await election.run(1500);
  assert.deepEqual(election.leaders, [names[0]]);
  return election;
}

describe("leader election", () => {
  test("elects one leader that all controllers know and whose term a majority confirms", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    const { lease, leader, term } = election.changes.get("n0")!;
    assert.deepEqual([leader, term, lease?.term], ["n0", 1, 1]);
    assert.ok(lease!.earlierLeadershipExpiredFromMs < Infinity);
    for (const name of ["n1", "n2"])
      assert.deepEqual(election.changes.get(name), { lease: null, leader: "n0", term: 1 });
  });

  test("gives a single controller its majority without messages", async () => {
    const election = await electionLedByFirst(["n0"]);
    assert.ok(election.lease("n0")!.earlierLeadershipExpiredFromMs < Infinity);
    assert.deepEqual(election.sent, []);
  });

  test("elects another leader after the lease of a crashed leader", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    election.crash("n0");
    election.changes.delete("n0");
    await election.run(LEASE_MS + 2 * POLL_INTERVAL_MS + 500);
    assert.equal(election.leaders.length, 1);
    assert.equal(election.lease(election.leaders[0]!)!.term, 2);
  });

  test("elects the restarted process of the leader's node before the previous lease expires", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    election.crash("n0");
    election.changes.delete("n0");
    election.start("n0");
    await election.run(300);
    assert.equal(election.lease("n0")?.term, 2);
  });

  test("elects another leader before the lease expires when only the leader's host refuses connections", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    election.crash("n0");
    election.changes.delete("n0");
    election.elector("n1").post({ kind: "peer refused", peer: "n0", othersReachable: true });
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

  test("may acknowledge but not write during an outage that a majority confirms", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    election.stateStore.startOutage(30_000);
    await election.run(15_000);
    const lease = election.lease("n0")!;
    const nowMs = election.clock.nowMs();
    assert.ok(lease.writeUntilMs < nowMs, "must not write");
    assert.ok(lease.acknowledgeUntilMs > nowMs, "may acknowledge");
    assert.ok(lease.acknowledgeUntilMs <= nowMs + 2000, "by at most 2 s");
  });

  test("resigns when the state store refuses only this leader, so that no peer confirms an extension", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    election.stateStore.refuseHost("n0", 30_000);
    await election.run(10_000);
    assert.equal(election.lease("n0"), null);
    assert.equal(election.leaders.length, 1);
    assert.equal(election.lease(election.leaders[0]!)!.term, 2);
  });

  test("resigns on a later term and ignores a `deposed` message of another term", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    election.elector("n0").post({ kind: "deposed", term: 7 });
    await election.run(1);
    assert.equal(election.lease("n0")?.term, 1, "the message names another term");
    election.elector("n0").post({
      kind: "peer",
      message: { kind: "term announcement", from: "n1", term: 2 },
    });
    await election.run(1);
    assert.deepEqual(election.changes.get("n0"), { lease: null, leader: null, term: 0 });
  });

  test("that is overloaded steps down and leaves the next term to others", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    election.elector("n0").post({ kind: "lagging", term: 1 });
    await election.run(5000);
    assert.ok(!election.leaders.includes("n0"));
    assert.equal(election.leaders.length, 1);
  });

  test("that has stepped down leads again after 20 s when there is no other leader", async () => {
    const election = await electionLedByFirst(["n0"]);
    election.elector("n0").post({ kind: "lagging", term: 1 });
    await election.run(19_900);
    assert.deepEqual(election.leaders, []);
    await election.run(1000);
    assert.equal(election.lease("n0")?.term, 2);
  });

  test("that all hosts refuse rewrites its record every 300 ms for 4 s", async () => {
    const election = await electionLedByFirst(["n0", "n1", "n2"]);
    const versionOf = (): number => election.stateStore.entries.get("lead/hold")!.version;
    const versions = new Set<number>();
    election.elector("n0").post({ kind: "peer refused", peer: "n1", othersReachable: false });
    for (let step = 0; step < 600; step++) {
      await election.run(10);
      versions.add(versionOf());
    }
    assert.equal(versions.size, 14, "a write at 0, 300 … 3900 ms");
  });
});
