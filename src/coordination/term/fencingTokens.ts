/**
 * Fencing tokens and attempt numbers: each term has a range of its own, above those of all earlier terms. Both stay exact
 * in a double: 29 bits of term, 24 bits of counter.
 */

/** Fencing tokens that each term owns. */
export const TOKENS_PER_TERM = 2 ** 24;
/** Attempt numbers that each term owns. */
export const ATTEMPTS_PER_TERM = 2 ** 24;

/** The lowest fencing token of a term: higher than any of an earlier one. */
export function firstFencingToken(term: number): number {
  return term * TOKENS_PER_TERM;
}

/** The lowest attempt number of a term: higher than any of an earlier one. */
export function firstAttemptNumber(term: number): number {
  return term * ATTEMPTS_PER_TERM;
}
