import assert from "node:assert/strict";
import test from "node:test";
import {
  ATTEMPTS_PER_TERM,
  firstAttemptNumber,
  firstFencingToken,
  TOKENS_PER_TERM,
} from "../src/coordination/term/fencingTokens.js";

const TERMS = [1, 2, 1000, 2 ** 28];

test("all fencing tokens of a later term are higher than those of an earlier term, and exact in a double", () => {
  for (const term of TERMS) {
    assert.ok(firstFencingToken(term) + TOKENS_PER_TERM - 1 < firstFencingToken(term + 1));
    assert.ok(Number.isSafeInteger(firstFencingToken(term + 1)));
  }
});

test("all attempt numbers of a later term are higher than those of an earlier term, and exact in a double", () => {
  for (const term of TERMS) {
    assert.ok(firstAttemptNumber(term) + ATTEMPTS_PER_TERM - 1 < firstAttemptNumber(term + 1));
    assert.ok(Number.isSafeInteger(firstAttemptNumber(term + 1)));
  }
});
