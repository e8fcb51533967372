/** What the days themselves teach: how far the owners' estimates are off, class by class. */
export class RunTimeEstimator {
  private readonly ratio = new Map<string, { value: number; weight: number }>();

  /** A task of the class ran this long though its owner had said that. */
  recordRun(className: string, actualS: number, estimateS: number): void {
    if (estimateS <= 0 || actualS <= 0) return;
    const r = Math.min(10, Math.max(0.1, actualS / estimateS));
    const old = this.ratio.get(className);
    if (!old) {
      this.ratio.set(className, { value: Math.log(r), weight: 1 });
      return;
    }
    old.weight = Math.min(30, old.weight + 1);
    old.value += (Math.log(r) - old.value) / old.weight;
  }

  expectedS(className: string, estimateS: number): number {
    const r = this.ratio.get(className);
    return r && r.weight >= 3 ? estimateS * Math.exp(r.value) : estimateS;
  }
}
