import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { acknowledgementLimitMs, longestZoneLeaseMs } from "../src/coordination/term/acknowledgementLimit.js";
import { CLOCK_DRIFT } from "../src/coordination/term/clockDrift.js";

const KNOWN_MS = 70_000;
/** Allows for a heartbeat in transit, late timers, and a worker that kills its tasks shortly after its lease expired. */
const MARGIN_S = 0.5;

const cases: { cancelS: number; leaseS: number; limitMs: number }[] = [
  { cancelS: 37, leaseS: 12, limitMs: 23_900 },
  { cancelS: 40.25, leaseS: 15.25, limitMs: 23_900 },
  { cancelS: 25, leaseS: 8, limitMs: 15_900 },
  { cancelS: 14, leaseS: 12, limitMs: 900 },
  { cancelS: 5, leaseS: 8, limitMs: -4100 },
];

describe("the right to acknowledge ends one lease before an unknown cancellation must take effect", () => {
  for (const { cancelS, leaseS, limitMs } of cases)
    test(`cancelled within ${cancelS} s, leases of ${leaseS} s`, () => {
      const durationMs = acknowledgementLimitMs(KNOWN_MS, cancelS, leaseS) - KNOWN_MS;
      assert.ok(durationMs >= limitMs && durationMs <= limitMs + 100, `${durationMs} ms`);
      // Both the worker's clock and the controller's clock may run slow.
      assert.ok(
        (durationMs * (1 + CLOCK_DRIFT)) / 1000 + leaseS * (1 + CLOCK_DRIFT) + MARGIN_S <
          cancelS * (1 - CLOCK_DRIFT),
      );
    });
});

describe("a zone lease never exceeds the right to acknowledge, and is 0 if it would be too short", () => {
  for (const { cancelS, leaseS, limitMs } of cases)
    test(`cancelled within ${cancelS} s, leases of ${leaseS} s`, () => {
      assert.equal(
        longestZoneLeaseMs(cancelS, leaseS),
        limitMs < 3000 ? 0 : Math.floor(acknowledgementLimitMs(0, cancelS, leaseS)),
      );
    });
});
