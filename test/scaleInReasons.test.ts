import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Machine } from "../src/bookkeeping/workload.js";
import {
  hasFailedToBoot,
  lostReason,
  type ScaleInContext,
  unusedReason,
} from "../src/coordination/machines/scaleInReasons.js";
import { SilenceCounts } from "../src/coordination/machines/silenceCounts.js";
import type { MachineType } from "../src/protocol/model.js";
import { FIRST_TOKEN, MachineTerm } from "./fakes/machineTerm.js";

const LEASE_S = 12;
const SUSPECT_S = 3;

/** A term that has lasted for so long (its clock began at 1000 ms), with the settings of these tests. */
async function termAfter(seconds: number): Promise<{ term: MachineTerm; context: ScaleInContext }> {
  const term = new MachineTerm();
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
    hasFailed: boolean;
  }[] = [
    { name: "has three boot times and 30 seconds", type, ageS: 60, termS: 100, hasFailed: false },
    { name: "has failed after that", type, ageS: 60.1, termS: 100, hasFailed: true },
    { name: "of unknown type has 210 seconds", ageS: 210, termS: 300, hasFailed: false },
    { name: "of unknown type has failed after that", ageS: 210.1, termS: 300, hasFailed: true },
    { name: "is kept while a leader is new", type, ageS: 500, termS: 5, hasFailed: false },
    { name: "has failed once the leader is not new", type, ageS: 500, termS: 5.1, hasFailed: true },
    {
      name: "that was up has two leases and 10 seconds from the term's beginning",
      type,
      ageS: 500,
      termS: 34,
      isListedAsRunning: true,
      hasFailed: false,
    },
    {
      name: "that was up has failed after that",
      type,
      ageS: 500,
      termS: 34.1,
      isListedAsRunning: true,
      hasFailed: true,
    },
  ];
  for (const { name, ageS, termS, hasFailed, ...change } of cases)
    test(name, async () => {
      const { term, context } = await termAfter(termS);
      const nowMs = term.clock.nowMs();
      const machine = Object.assign(term.machine(), change, {
        state: "booting",
        createdMs: nowMs - ageS * 1000,
      });
      assert.equal(hasFailedToBoot(machine, context, nowMs), hasFailed);
    });
});

describe("a silent machine", () => {
  const cases: {
    name: string;
    silentS: number;
    machine?: Partial<Machine>;
    hasAttempt?: boolean;
    /** Other machines of its zone and controller that are silent as long, and that are not silent. */
    others?: { silent: number; well: number; zone?: string };
    reason: string | null;
  }[] = [
    { name: "is waited for as long as the operator says", silentS: 20, reason: null },
    { name: "is scaled in after that", silentS: 20.1, reason: "silent for 20.1 s" },
    {
      name: "is waited for longer when most of its zone is silent",
      silentS: 90,
      others: { silent: 2, well: 2 },
      reason: null,
    },
    {
      name: "is scaled in after that, too",
      silentS: 90.1,
      others: { silent: 2, well: 2 },
      reason: "silent for 90.1 s",
    },
    {
      name: "is not waited for longer when half of its zone is silent",
      silentS: 21,
      others: { silent: 2, well: 3 },
      reason: "silent for 21.0 s",
    },
    {
      name: "without work, on a spot instance, is waited for",
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
      name: "with work, on a spot instance, is waited for when a quarter of its controller's machines are silent",
      silentS: 6.1,
      machine: { spot: true },
      hasAttempt: true,
      others: { silent: 3, well: 12, zone: "b" },
      reason: null,
    },
    {
      name: "with work, on a spot instance, is not waited for when fewer of its controller's machines are silent",
      silentS: 6.1,
      machine: { spot: true },
      hasAttempt: true,
      others: { silent: 3, well: 13, zone: "b" },
      reason: "spot machine silent for 6.1 s",
    },
    {
      name: "whose interruption is due counts as interrupted",
      silentS: 4.1,
      machine: { interruptionAtMs: 95_999 },
      reason: "taken by the cloud",
    },
    {
      name: "whose interruption was due a moment ago is waited for",
      silentS: 4.1,
      machine: { interruptionAtMs: 96_000 },
      reason: null,
    },
  ];
  for (const { name, silentS, machine: change, hasAttempt, others, reason } of cases)
    test(name, async () => {
      const { term, context } = await termAfter(100);
      const nowMs = term.clock.nowMs();
      const machine = Object.assign(term.machine(), change, { lastContactMs: nowMs - silentS * 1000 });
      if (hasAttempt) term.attempt(term.job(), machine);
      const neighbours = Array.from({ length: (others?.silent ?? 0) + (others?.well ?? 0) }, (_, index) => {
        const neighbour = term.machine(`host-${index + 2}`);
        neighbour.zone = others?.zone ?? "a";
        neighbour.lastContactMs = index < (others?.silent ?? 0) ? machine.lastContactMs : nowMs;
        return neighbour;
      });
      const counts = new SilenceCounts([machine, ...neighbours], SUSPECT_S, nowMs);
      assert.equal(lostReason(machine, counts, context, nowMs), reason);
    });
});

describe("a machine that is up for 100 seconds and idle for 31", () => {
  const cases: {
    name: string;
    machine?: (nowMs: number) => Partial<Machine>;
    hasAttempt?: boolean;
    isReserved?: boolean;
    reason: string | null;
  }[] = [
    { name: "is scaled in", reason: "idle" },
    {
      name: "is kept while it is not idle for longer than 30",
      machine: (nowMs) => ({ idleSinceMs: nowMs - 30_000 }),
      reason: null,
    },
    { name: "is kept when it has an attempt", hasAttempt: true, reason: null },
    { name: "is kept when its room is reserved", isReserved: true, reason: null },
    {
      name: "is kept while it is silent",
      machine: (nowMs) => ({ lastContactMs: nowMs - 3000 }),
      reason: null,
    },
    {
      name: "is kept in its first charged minute",
      machine: (nowMs) => ({ createdMs: nowMs - 58_000 }),
      reason: null,
    },
    {
      name: "is scaled in at once when it is cordoned",
      machine: (nowMs) => ({ isCordoned: true, cordonReason: "fails what it starts", idleSinceMs: nowMs }),
      reason: "fails what it starts",
    },
    {
      name: "is scaled in when it can't be reached for long",
      machine: (nowMs) => ({
        requiredToken: FIRST_TOKEN + 1,
        idleSinceMs: nowMs - 20_001,
        unreachableSinceMs: 0,
      }),
      reason: "sends heartbeats, but can't be reached",
    },
    {
      name: "is kept when it can't be reached for less long",
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
        term.machine(),
        { createdMs: nowMs - 100_000, idleSinceMs: nowMs - 31_000, lastContactMs: nowMs },
        change?.(nowMs),
      );
      if (hasAttempt) term.attempt(term.job(), machine);
      assert.equal(unusedReason(machine, { ...context, isReserved: () => isReserved }, nowMs), reason);
    });
});
