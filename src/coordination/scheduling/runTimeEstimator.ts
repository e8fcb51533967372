/** The largest ratio of actual to estimated run time that one run counts with: outliers must not dominate the mean. */
const MAX_RUN_TIME_RATIO = 10;
/** The smallest ratio of actual to estimated run time that one run counts with. */
const MIN_RUN_TIME_RATIO = 0.1;
/** The mean covers about this many of the latest runs, so that it follows a class whose jobs change. */
const MAX_MEAN_WEIGHT = 30;
/** With fewer recorded runs than this, the submitted estimate is more accurate and is used as it is. */
const MIN_RUNS = 3;

/** Running mean of the logarithm of the ratio of actual to estimated run time. */
interface MeanLogRatio {
  mean: number;
  /** Number of recorded runs, at most `MAX_MEAN_WEIGHT`. */
  weight: number;
}

/** Learns, for each class of jobs, by which factor actual run times differ from the submitted estimates. */
export class RunTimeEstimator {
  private readonly meanLogRatioByClass = new Map<string, MeanLogRatio>();

  /** Records that a task of the class ran for `actualS` seconds, where its job's submission estimated `estimateS`. */
  recordRun(className: string, actualS: number, estimateS: number): void {
    if (estimateS <= 0 || actualS <= 0) return;
    const logRatio = Math.log(
      Math.min(MAX_RUN_TIME_RATIO, Math.max(MIN_RUN_TIME_RATIO, actualS / estimateS)),
    );
    const average = this.meanLogRatioByClass.get(className);
    if (!average) {
      this.meanLogRatioByClass.set(className, { mean: logRatio, weight: 1 });
      return;
    }
    average.weight = Math.min(MAX_MEAN_WEIGHT, average.weight + 1);
    average.mean += (logRatio - average.mean) / average.weight;
  }

  /** Returns the expected run time in seconds of a task of the class whose submitted estimate is `estimateS`. */
  expectedRunTimeS(className: string, estimateS: number): number {
    const average = this.meanLogRatioByClass.get(className);
    return average && average.weight >= MIN_RUNS ? estimateS * Math.exp(average.mean) : estimateS;
  }
}
