/** The violations of rules in a simulated world. A violation, once reported, is never removed. */

/** The names of the rules; the doc comment of a rule's checker defines the rule. */
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

/** One violation of a rule. */
export interface Violation {
  rule: RuleName;
  /** The job, task, team, machine or request concerned, and what was observed. */
  detail: string;
  atMs: number;
}

/** Records a violation that a checker found. */
export type ReportViolation = (rule: RuleName, detail: string) => void;

/** Formats the violation as one line. */
export function formatViolation({ rule, detail }: Violation): string {
  return `${rule} ${detail}`;
}
