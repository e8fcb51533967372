/**
 * How far apart the steady clocks of two machines may run. Every time span that one machine grants and another one counts
 * is widened or shortened by it, so that whoever loses a right loses it first.
 */

/** Bound on the drift of one machine's steady clock, as a fraction of the time that has passed. */
export const CLOCK_DRIFT = 0.0005;

/** At least this much of that time has passed here, once it has passed on another machine. */
export function shortenedByDrift(duration: number): number {
  return duration * (1 - 2 * CLOCK_DRIFT);
}

/** Once this much time has passed here, that time has certainly passed on another machine. */
export function lengthenedByDrift(duration: number): number {
  return duration * (1 + 2 * CLOCK_DRIFT);
}
