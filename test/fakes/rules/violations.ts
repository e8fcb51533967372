/** The report of the rules that were broken in a simulated world. Whoever sees one broken adds it; nothing removes it. */

/** The rules, each named as its checker is; the checker's doc comment says the rule. */
export type RuleName =
  | "accepted_invalid"
  | "forgotten"
  | "invented"
  | "left_waiting"
  | "not_done"
  | "paid_for_nothing"
  | "quota"
  | "ran_cancelled"
  | "ran_twice"
  | "went_back"
  | "wrong_place";

/** One breach of a rule. */
export interface Violation {
  rule: RuleName;
  /** The job, task or team that it concerns, and what was seen. */
  detail: string;
  atMs: number;
}

/** Takes breaches from the checkers. */
export type ReportViolation = (rule: RuleName, detail: string) => void;

/** The breach in one line. */
export function formatViolation({ rule, detail }: Violation): string {
  return `${rule} ${detail}`;
}
