/**
 * The pause between two scheduling cycles. Whatever ends or arrives meanwhile is placed together in the next one, and
 * acknowledgements, grants and writes get their turn.
 */

/** The shortest pause: changes that come this close together share a cycle. */
const MIN_CYCLE_GAP_MS = 50;
/** The pause is this many times the length of the last cycle: shorter, cycles of 627 machines left no time for the rest. */
const CYCLE_GAP_FACTOR = 10;
/** The longest pause of a leader that keeps up. */
const MAX_CYCLE_GAP_MS = 400;
/** A leader whose timers fire this late is overloaded: more urgent work is waiting, so the pause may be longer. */
const OVERLOADED_LAG_MS = 200;
/** The longest pause of an overloaded leader. */
const MAX_OVERLOADED_CYCLE_GAP_MS = 1500;

/**
 * The pause after a cycle of this length, with timers that fire `lagMs` late. On a small share of a core a cycle takes
 * half a second; with pauses of 400 ms at the most, a new leader spent most of its share on cycles while workers' leases
 * expired. Pure.
 */
export function cycleGapMs(lengthMs: number, lagMs: number): number {
  const longestMs = lagMs > OVERLOADED_LAG_MS ? MAX_OVERLOADED_CYCLE_GAP_MS : MAX_CYCLE_GAP_MS;
  return Math.min(longestMs, Math.max(MIN_CYCLE_GAP_MS, lengthMs * CYCLE_GAP_FACTOR));
}
