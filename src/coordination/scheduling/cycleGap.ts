/**
 * The gap between two scheduling cycles. Changes that happen during the gap are handled together in the next cycle, and
 * the leader uses the gap to process heartbeat acknowledgements, grants and writes.
 */

/** The shortest gap: changes that are closer together than this share a cycle. */
const MIN_CYCLE_GAP_MS = 50;
/**
 * The gap is this many times as long as the last cycle. With a smaller factor, cycles over 627 machines left no time for
 * the leader's other work.
 */
const CYCLE_GAP_FACTOR = 10;
/** The longest gap of a leader that is not overloaded. */
const MAX_CYCLE_GAP_MS = 400;
/** A leader whose timers fire later than this is overloaded: more urgent work is waiting, so the gap may be longer. */
const OVERLOADED_LAG_MS = 200;
/** The longest gap of an overloaded leader. */
const MAX_OVERLOADED_CYCLE_GAP_MS = 1500;

/**
 * Returns the gap after a cycle that took `cycleDurationMs`, on a leader whose timers fire `lagMs` late. On a small share
 * of a core a cycle takes half a second; when gaps were limited to 400 ms, a new leader spent most of its CPU time on
 * cycles while workers' leases expired. Pure.
 */
export function cycleGapMs(cycleDurationMs: number, lagMs: number): number {
  const maxGapMs = lagMs > OVERLOADED_LAG_MS ? MAX_OVERLOADED_CYCLE_GAP_MS : MAX_CYCLE_GAP_MS;
  return Math.min(maxGapMs, Math.max(MIN_CYCLE_GAP_MS, cycleDurationMs * CYCLE_GAP_FACTOR));
}
