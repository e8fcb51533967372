import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Machine } from "../src/bookkeeping/workload.js";
import {
  hasFailedToBoot,
  lostMachineReason,
  type ScaleInContext,
  unusedMachineReason,
} from "../src/coordination/machines/scaleInReasons.js";
import { SilenceCounts } from "../src/coordination/machines/silenceCounts.js";
import type { MachineType } from "../src/protocol/model.js";
import { FIRST_TOKEN, LeaderTermFixture } from "./fakes/leaderTermFixture.js";

const LEASE_S = 12;
const SUSPECT_S = 3;

/** Creates a term that started the given number of seconds ago, with the tests' settings. The clock starts at 1000 ms. */
async function termAfter(seconds: number): Promise<{ term: LeaderTermFixture; context: ScaleInContext }> {
  const term = new LeaderTermFixture();
  await term.clock.advance(seconds * 1000);
  const operator = { suspectS: SUSPECT_S, abandonS: 20, spotSilentS: 6, idleKeepS: 30 };
  return { term, context: { lease: term.lease, leaseS: LEASE_S, operator, isReserved: () => false } };
}

describe("a booting machine", () => {
  const type = { name: "g8", bootS: 10 } as MachineType;
  const cases: {
    name: string;
    ageS: number;
    termS: number;
    type?: MachineType;
    isListedAsRunning?: boolean;
    hasAttempt?: boolean;
    isNameConfirmed?: boolean;
    hasFailed: boolean;
  }[] = [
    {
      name: "may boot for three times its boot time plus 30 seconds",
      type,
      ageS: 60,
      termS: 100,
      hasFailed: false,
    },
    {
      name: "has failed to boot after three times its boot time plus 30 seconds",
      type,
      ageS: 60.1,
      termS: 100,
      hasFailed: true,
    },
    { name: "of unknown type may boot for 210 seconds", ageS: 210, termS: 300, hasFailed: false },
    {
      name: "of unknown type has failed to boot after 210 seconds",
      ageS: 210.1,
      termS: 300,
      hasFailed: true,
    },
    { name: "is kept in the first 5 seconds of a term", type, ageS: 500, termS: 5, hasFailed: false },
    {
      name: "has failed to boot once the term is older than 5 seconds",
      type,
      ageS: 500,
      termS: 5.1,
      hasFailed: true,
    },
    {
      name: "that was up before may reconnect for two leases plus 10 seconds after the start of the term",
      type,
      ageS: 500,
      termS: 34,
      isListedAsRunning: true,
      hasFailed: false,
    },
    {
      name: "that was up before has failed after two leases plus 10 seconds in the term",
      type,
      ageS: 500,
      termS: 34.1,
      isListedAsRunning: true,
      hasFailed: true,
    },
    {
      name: "with an attempt of an earlier leader has failed after that time, too",
      ageS: 500,
      termS: 34.1,
      hasAttempt: true,
      hasFailed: true,
    },
    {
      name: "with an attempt is kept as long as only a record names it, since the cloud may not know that name",
      ageS: 500,
      termS: 500,
      hasAttempt: true,
      isNameConfirmed: false,
      hasFailed: false,
    },
    {
      name: "without an attempt that only a record names has failed",
      ageS: 500,
      termS: 500,
      isNameConfirmed: false,
      hasFailed: true,
    },
  ];
  for (const { name, ageS, termS, hasAttempt, hasFailed, ...change } of cases)
    test(name, async () => {
      const { term, context } = await termAfter(termS);
      const nowMs = term.clock.nowMs();
      const machine = Object.assign(term.createMachine(), change, {
        state: "booting",
        createdMs: nowMs - ageS * 1000,
      });
      if (hasAttempt) term.addAttempt(term.addJob(), machine);
      assert.equal(hasFailedToBoot(machine, context, nowMs), hasFailed);
    });
});

describe("a silent machine", () => {
  const cases: {
    name: string;
    silentS: number;
    machine?: Partial<Machine>;
    hasAttempt?: boolean;
    /**
     * Numbers of other machines on its controller that are silent for the same time, and that are not silent; in its zone
     * unless `zone` is given.
     */
    others?: { silent: number; responsive: number; zone?: string };
    reason: string | null;
  }[] = [
    { name: "is kept until the operator's abandon timeout", silentS: 20, reason: null },
    { name: "is scaled in after the operator's abandon timeout", silentS: 20.1, reason: "silent for 20.1 s" },
    {
      name: "is kept for 90 seconds when most of its zone is silent",
      silentS: 90,
      others: { silent: 2, responsive: 2 },
      reason: null,
    },
    {
      name: "is scaled in after 90 seconds when most of its zone is silent",
      silentS: 90.1,
      others: { silent: 2, responsive: 2 },
      reason: "silent for 90.1 s",
    },
    {
      name: "is scaled in after the abandon timeout when half of its zone is silent",
      silentS: 21,
      others: { silent: 2, responsive: 3 },
      reason: "silent for 21.0 s",
    },
    {
      name: "without work, on a spot instance, is kept",
      silentS: 7,
      machine: { spot: true },
      reason: null,
    },
    {
      name: "with work, on a spot instance, is scaled in early",
      silentS: 6.1,
      machine: { spot: true },
      hasAttempt: true,
      reason: "spot machine silent for 6.1 s",
    },
    {
      name: "with work, on a spot instance, is kept when a quarter of its controller's machines are silent",
      silentS: 6.1,
      machine: { spot: true },
      hasAttempt: true,
      others: { silent: 3, responsive: 12, zone: "b" },
      reason: null,
    },
    {
      name: "with work, on a spot instance, is scaled in early when fewer of its controller's machines are silent",
      silentS: 6.1,
      machine: { spot: true },
      hasAttempt: true,
      others: { silent: 3, responsive: 13, zone: "b" },
      reason: "spot machine silent for 6.1 s",
    },
    {
      name: "counts as interrupted more than 5 seconds after the announced time",
      silentS: 4.1,
      machine: { interruptionAtMs: 95_999 },
      reason: "spot instance interrupted",
    },
    {
      name: "is kept until 5 seconds after the announced interruption",
      silentS: 4.1,
      machine: { interruptionAtMs: 96_000 },
      reason: null,
    },
  ];
  for (const { name, silentS, machine: change, hasAttempt, others, reason } of cases)
    test(name, async () => {
      const { term, context } = await termAfter(100);
      const nowMs = term.clock.nowMs();
      const machine = Object.assign(term.createMachine(), change, { lastContactMs: nowMs - silentS * 1000 });
      if (hasAttempt) term.addAttempt(term.addJob(), machine);
      const otherMachines = Array.from(
        { length: (others?.silent ?? 0) + (others?.responsive ?? 0) },
        (_, index) => {
          const other = term.createMachine(`host-${index + 2}`);
          other.zone = others?.zone ?? "a";
          other.lastContactMs = index < (others?.silent ?? 0) ? machine.lastContactMs : nowMs;
          return other;
        },
      );
      const counts = new SilenceCounts([machine, ...otherMachines], SUSPECT_S, nowMs);
      assert.equal(lostMachineReason(machine, counts, context, nowMs), reason);
    });
});

describe("a machine that has been up for 100 seconds and idle for 31 seconds", () => {
  const cases: {
    name: string;
    machine?: (nowMs: number) => Partial<Machine>;
    hasAttempt?: boolean;
    isReserved?: boolean;
    reason: string | null;
  }[] = [
    { name: "is scaled in", reason: "idle" },
    {
      name: "is kept until it has been idle for more than 30 seconds",
      machine: (nowMs) => ({ idleSinceMs: nowMs - 30_000 }),
      reason: null,
    },
    { name: "is kept when it has an attempt", hasAttempt: true, reason: null },
    { name: "is kept when its capacity is reserved", isReserved: true, reason: null },
    {
      name: "is kept while it is silent",
      machine: (nowMs) => ({ lastContactMs: nowMs - 3000 }),
      reason: null,
    },
    {
      name: "is kept during its first billed minute",
      machine: (nowMs) => ({ createdMs: nowMs - 58_000 }),
      reason: null,
    },
    {
      name: "is scaled in at once when it is cordoned",
      machine: (nowMs) => ({ isCordoned: true, cordonReason: "repeated task failures", idleSinceMs: nowMs }),
      reason: "repeated task failures",
    },
    {
      name: "is scaled in when it has been unreachable for longer than the abandon timeout",
      machine: (nowMs) => ({
        requiredToken: FIRST_TOKEN + 1,
        idleSinceMs: nowMs - 20_001,
        unreachableSinceMs: 0,
      }),
      reason: "sends heartbeats but is unreachable",
    },
    {
      name: "is kept while it has been unreachable for no longer than the abandon timeout",
      machine: (nowMs) => ({
        requiredToken: FIRST_TOKEN + 1,
        idleSinceMs: nowMs - 20_000,
        unreachableSinceMs: 0,
      }),
      reason: null,
    },
  ];
  for (const { name, machine: change, hasAttempt, isReserved = false, reason } of cases)
    test(name, async () => {
      const { term, context } = await termAfter(200);
      const nowMs = term.clock.nowMs();
      const machine = Object.assign(
        term.createMachine(),
        { createdMs: nowMs - 100_000, idleSinceMs: nowMs - 31_000, lastContactMs: nowMs },
        change?.(nowMs),
      );
      if (hasAttempt) term.addAttempt(term.addJob(), machine);
      assert.equal(unusedMachineReason(machine, { ...context, isReserved: () => isReserved }, nowMs), reason);
    });
});
