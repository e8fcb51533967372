/**
 * Corrections for the drift between the steady clocks of two machines. Every duration that one machine grants and another
 * one measures is lengthened or shortened, so that the holder of a right loses it before the other side relies on that.
 */

/** Maximum drift of one machine's steady clock, as a fraction of the elapsed time. */
export const CLOCK_DRIFT = 0.0005;

/** Returns a duration on this machine's clock that ends before `duration` has elapsed on another machine's clock. */
export function shortenedByDrift(duration: number): number {
  return duration * (1 - 2 * CLOCK_DRIFT);
}

/** Returns a duration on this machine's clock after which `duration` has elapsed on another machine's clock. */
export function lengthenedByDrift(duration: number): number {
  return duration * (1 + 2 * CLOCK_DRIFT);
}
