/** One run counts as no more than this many times longer, or shorter, than its estimate: outliers must not dominate. */
const MAX_RATIO = 10;
const MIN_RATIO = 0.1;
/** A mean over no more than about so many runs, so that it follows a class whose jobs change. */
const MAX_WEIGHT = 30;
/** With fewer runs seen, the submitted estimate is the better guess. */
const MIN_RUNS = 3;

/** Running mean of the logarithm of actual over estimated run time. */
interface LogRatio {
  mean: number;
  /** Runs seen, up to `MAX_WEIGHT`. */
  weight: number;
}

/** Learns from runs how far submitted run time estimates are off, class by class. */
export class RunTimeEstimator {
  private readonly logRatios = new Map<string, LogRatio>();

  /** A task of the class ran for `actualS`, with `estimateS` in its job's submission. */
  recordRun(className: string, actualS: number, estimateS: number): void {
    if (estimateS <= 0 || actualS <= 0) return;
    const logRatio = Math.log(Math.min(MAX_RATIO, Math.max(MIN_RATIO, actualS / estimateS)));
    const known = this.logRatios.get(className);
    if (!known) {
      this.logRatios.set(className, { mean: logRatio, weight: 1 });
      return;
    }
    known.weight = Math.min(MAX_WEIGHT, known.weight + 1);
    known.mean += (logRatio - known.mean) / known.weight;
  }

  /** Seconds that a task of the class with such an estimate is expected to run. */
  expectedS(className: string, estimateS: number): number {
    const known = this.logRatios.get(className);
    return known && known.weight >= MIN_RUNS ? estimateS * Math.exp(known.mean) : estimateS;
  }
}
