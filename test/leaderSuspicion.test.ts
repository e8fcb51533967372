import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { LeaderSuspicion, type LeadershipRead } from "../src/coordination/leadership/leaderSuspicion.js";

const LEADER: Omit<LeadershipRead, "revision" | "sentMs"> = { leader: "n1", term: 4 };

interface SuspicionCase {
  name: string;
  othersReachable: boolean;
  /** Milliseconds from the refusal to the read, the read's result, and whether the leader is then assumed failed. */
  reads: [sentMs: number, read: Omit<LeadershipRead, "sentMs">, isFailed: boolean][];
}

const cases: SuspicionCase[] = [
  {
    name: "at the first read if links to other controllers are open",
    othersReachable: true,
    reads: [[5, { ...LEADER, revision: 70 }, true]],
  },
  {
    name: "at the second read if all hosts refuse and nothing was written in between",
    othersReachable: false,
    reads: [
      [5, { ...LEADER, revision: 70 }, false],
      [505, { ...LEADER, revision: 70 }, true],
    ],
  },
  {
    name: "not yet if all hosts refuse and the second read follows immediately",
    othersReachable: false,
    reads: [
      [5, { ...LEADER, revision: 70 }, false],
      [15, { ...LEADER, revision: 70 }, false],
      [515, { ...LEADER, revision: 70 }, true],
    ],
  },
  {
    name: "not yet if all hosts refuse and a write occurred between the reads",
    othersReachable: false,
    reads: [
      [5, { ...LEADER, revision: 70 }, false],
      [505, { ...LEADER, revision: 73 }, false],
      [1005, { ...LEADER, revision: 73 }, true],
    ],
  },
  {
    name: "not if it leads a later term, which shows that it is alive",
    othersReachable: true,
    reads: [
      [5, { ...LEADER, term: 5, revision: 70 }, false],
      [505, { ...LEADER, revision: 70 }, false],
    ],
  },
  {
    name: "not if another controller leads",
    othersReachable: false,
    reads: [
      [5, { leader: "n2", term: 5, revision: 70 }, false],
      [505, { leader: "n2", term: 5, revision: 70 }, false],
    ],
  },
  {
    name: "not if the refusal was too long ago",
    othersReachable: true,
    reads: [[4500, { ...LEADER, revision: 70 }, false]],
  },
];

/** Guards against repeatedly ending the lease of a live leader when only the links between controllers are refused. */
describe("a leader whose host refuses connections is assumed failed", () => {
  for (const { name, othersReachable, reads } of cases)
    test(name, () => {
      const suspicion = new LeaderSuspicion();
      suspicion.raise({ ...LEADER, othersReachable, sinceMs: 1000 });
      for (const [sentMs, read, isFailed] of reads)
        assert.equal(suspicion.isConfirmedBy({ ...read, sentMs: 1000 + sentMs }, 1004 + sentMs), isFailed);
    });

  test("not without a refusal", () => {
    assert.equal(new LeaderSuspicion().isConfirmedBy({ ...LEADER, revision: 1, sentMs: 3 }, 5), false);
  });
});
