/**
 * Runs randomized days without the test runner: `npm run simulate -- FIRST COUNT` runs `COUNT` consecutive seeds from
 * `FIRST` on. It prints the seed and the fault schedule of each day that fails; running the seed again reproduces the
 * day.
 */
import { formatOutcome, hasPassed, runRandomizedDay } from "./fakes/randomizedDay.js";

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const [firstSeed, dayCount] = process.argv.slice(2).map(Number);
if (!Number.isInteger(firstSeed) || !Number.isInteger(dayCount)) {
  process.stderr.write("usage: npm run simulate -- FIRST COUNT\n");
  process.exit(EXIT_USAGE);
}
let failedCount = 0;
for (let seed = firstSeed!; seed < firstSeed! + dayCount!; seed++) {
  const outcome = await runRandomizedDay(seed);
  if (hasPassed(outcome)) continue;
  failedCount++;
  process.stdout.write(`${formatOutcome(seed, outcome)}\n`);
}
process.stdout.write(`${dayCount! - failedCount} days passed, ${failedCount} failed\n`);
process.exit(failedCount > 0 ? EXIT_FAILED : 0);
