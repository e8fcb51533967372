import assert from "node:assert/strict";
import test from "node:test";
import {
  ATTEMPTS_PER_TERM,
  firstAttemptNumber,
  firstFencingToken,
  TOKENS_PER_TERM,
} from "../src/coordination/term/fencingTokens.js";

const TERMS = [1, 2, 1000, 2 ** 28];

test("a later term's fencing tokens are all higher than an earlier one's, and exact in a double", () => {
  for (const term of TERMS) {
    assert.ok(firstFencingToken(term) + TOKENS_PER_TERM - 1 < firstFencingToken(term + 1));
    assert.ok(Number.isSafeInteger(firstFencingToken(term + 1)));
  }
});

test("a later term's attempt numbers are all higher than an earlier one's, and exact in a double", () => {
  for (const term of TERMS) {
    assert.ok(firstAttemptNumber(term) + ATTEMPTS_PER_TERM - 1 < firstAttemptNumber(term + 1));
    assert.ok(Number.isSafeInteger(firstAttemptNumber(term + 1)));
  }
});
