/** What an election tells the other parts of a controller: who leads, and what the leader may do until when. */

/** A leader's rights, each with its end on this process's steady clock. */
export interface LeadershipLease {
  term: number;
  /** Version of the term's key in the state store: every write of this term is conditional on it. */
  termVersion: number;
  /** Until then the leader may write and start tasks. */
  writeUntilMs: number;
  /** Until then heartbeats may be acknowledged; never less than `writeUntilMs`. */
  acknowledgeUntilMs: number;
  /** From then on no earlier leader can acknowledge anything; Infinity while that is unknown. */
  earlierLeadersSilentFromMs: number;
}

/** The state of the election as this controller sees it. */
export interface LeadershipChange {
  /** Null: this controller does not lead. The same term comes again whenever one of its times moves. */
  lease: LeadershipLease | null;
  /** Name of the leader as far as known; null: nobody. */
  leader: string | null;
  /** That leader's term. */
  term: number;
}
