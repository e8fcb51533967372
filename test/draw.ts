/**
 * Plays drawn days one after the other, without the test runner: `npm run draw -- FIRST COUNT`. Each that fails is
 * printed with its seed and schedule; the same seed plays the same day again.
 */
import { playDrawn, tell } from "./fakes/drawnDay.js";

const [first, count] = process.argv.slice(2).map(Number);
if (!Number.isInteger(first) || !Number.isInteger(count)) {
  process.stderr.write("usage: npm run draw -- FIRST COUNT\n");
  process.exit(2);
}
let failed = 0;
for (let seed = first!; seed < first! + count!; seed++) {
  const outcome = await playDrawn(seed);
  if (outcome.broken.length === 0 && outcome.unfinished.length === 0) continue;
  failed++;
  process.stdout.write(`${tell(seed, outcome)}\n`);
}
process.stdout.write(`${count! - failed} days passed, ${failed} failed\n`);
process.exit(failed > 0 ? 1 : 0);
