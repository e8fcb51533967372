import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { LeaderSuspicion, type LeadershipRead } from "../src/coordination/leadership/leaderSuspicion.js";

const LEADER: Omit<LeadershipRead, "revision" | "sentMs"> = { leader: "n1", term: 4 };

interface SuspicionCase {
  name: string;
  othersReachable: boolean;
  /** Time since the refusal, what was read, and whether the leader is assumed failed then. */
  reads: [sentMs: number, read: Omit<LeadershipRead, "sentMs">, isFailed: boolean][];
}

const cases: SuspicionCase[] = [
  {
    name: "links to others stand: at the first read",
    othersReachable: true,
    reads: [[5, { ...LEADER, revision: 70 }, true]],
  },
  {
    name: "all hosts refuse and nothing is written: at the second read",
    othersReachable: false,
    reads: [
      [5, { ...LEADER, revision: 70 }, false],
      [505, { ...LEADER, revision: 70 }, true],
    ],
  },
  {
    name: "all hosts refuse and the reads follow each other at once: not yet",
    othersReachable: false,
    reads: [
      [5, { ...LEADER, revision: 70 }, false],
      [15, { ...LEADER, revision: 70 }, false],
      [515, { ...LEADER, revision: 70 }, true],
    ],
  },
  {
    name: "all hosts refuse and somebody writes: not yet",
    othersReachable: false,
    reads: [
      [5, { ...LEADER, revision: 70 }, false],
      [505, { ...LEADER, revision: 73 }, false],
      [1005, { ...LEADER, revision: 73 }, true],
    ],
  },
  {
    name: "the suspected one leads a later term: it lives",
    othersReachable: true,
    reads: [
      [5, { ...LEADER, term: 5, revision: 70 }, false],
      [505, { ...LEADER, revision: 70 }, false],
    ],
  },
  {
    name: "another leads by now",
    othersReachable: false,
    reads: [
      [5, { leader: "n2", term: 5, revision: 70 }, false],
      [505, { leader: "n2", term: 5, revision: 70 }, false],
    ],
  },
  {
    name: "a suspicion of long ago says nothing",
    othersReachable: true,
    reads: [[4500, { ...LEADER, revision: 70 }, false]],
  },
];

/** Guards against a live leader's lease being ended again and again when only the links are refused. */
describe("a leader whose host refuses connections is assumed failed", () => {
  for (const { name, othersReachable, reads } of cases)
    test(name, () => {
      const suspicion = new LeaderSuspicion();
      suspicion.raise({ ...LEADER, othersReachable, sinceMs: 1000 });
      for (const [sentMs, read, isFailed] of reads)
        assert.equal(suspicion.isConfirmedBy({ ...read, sentMs: 1000 + sentMs }, 1004 + sentMs), isFailed);
    });

  test("nobody is, without a refusal", () => {
    assert.equal(new LeaderSuspicion().isConfirmedBy({ ...LEADER, revision: 1, sentMs: 3 }, 5), false);
  });
});
