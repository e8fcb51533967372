/**
 * Fencing tokens and attempt numbers. Each term has its own range, above the ranges of all earlier terms. The numbers are
 * exact in a double: 29 bits of term and 24 bits of counter.
 */

/** Number of fencing tokens per term. */
export const TOKENS_PER_TERM = 2 ** 24;
/** Number of attempt numbers per term. */
export const ATTEMPTS_PER_TERM = 2 ** 24;

/** Returns the lowest fencing token of a term, which is higher than all tokens of earlier terms. */
export function firstFencingToken(term: number): number {
  return term * TOKENS_PER_TERM;
}

/** Returns the lowest attempt number of a term, which is higher than all attempt numbers of earlier terms. */
export function firstAttemptNumber(term: number): number {
  return term * ATTEMPTS_PER_TERM;
}
