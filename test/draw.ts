/**
 * Plays drawn days one after the other, without the test runner: `npm run draw -- FIRST COUNT`. Each that fails is
 * printed with its seed and schedule; the same seed plays the same day again.
 */
import { formatOutcome, hasPassed, playDrawnDay } from "./fakes/drawnDay.js";

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const [firstSeed, dayCount] = process.argv.slice(2).map(Number);
if (!Number.isInteger(firstSeed) || !Number.isInteger(dayCount)) {
  process.stderr.write("usage: npm run draw -- FIRST COUNT\n");
  process.exit(EXIT_USAGE);
}
let failedCount = 0;
for (let seed = firstSeed!; seed < firstSeed! + dayCount!; seed++) {
  const outcome = await playDrawnDay(seed);
  if (hasPassed(outcome)) continue;
  failedCount++;
  process.stdout.write(`${formatOutcome(seed, outcome)}\n`);
}
process.stdout.write(`${dayCount! - failedCount} days passed, ${failedCount} failed\n`);
process.exit(failedCount > 0 ? EXIT_FAILED : 0);
