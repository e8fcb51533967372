/** A job as its user submitted it, and what became of it. */
export interface SimJob {
  spec: Record<string, unknown> & { ref: string; spores: number; form: string; crew: string; cores: number };
  runS: number | null;
  /** Each task runs for so much longer than the one before it. */
  stepS: number;
  askedMs: number;
  accepted: boolean;
  told: string | null;
  toldMs: number;
  cancelAsked: boolean;
  done: Set<string>;
  /** When one of its questions was last answered. */
  answeredMs: number;
  /** When the first of its tasks began. */
  beganMs: number | null;
  /** Since when it waits though there is room for it; null: it does not. */
  waitsSinceMs: number | null;
}
