/** Tracks the newest term and the current leader from reads of the state store and announcements of controllers. */
export class KnownLeadership {
  /** True once the state store has been read; before that this controller cannot rule out a later term. */
  hasReadLeadership = false;
  private newestTerm = 0;
  private currentLeader: string | null = null;
  private leaderTerm = 0;

  constructor(private readonly node: string) {}

  /** The newest known term. */
  get term(): number {
    return this.newestTerm;
  }

  /** The leader, or a null `node` if none is known; `term` is that of the last known leader. */
  get leader(): { node: string | null; term: number } {
    return { node: this.currentLeader, term: this.leaderTerm };
  }

  /** Records that the term has begun, now or earlier. */
  observeTerm(term: number): void {
    this.newestTerm = Math.max(this.newestTerm, term);
  }

  /**
   * Records the leader that was read or announced (null if there is none), and returns true if it has changed. Must only
   * be called while this controller does not lead: its own name then stems from an earlier leadership and is treated as
   * null.
   */
  observeLeader(leader: string | null, term: number): boolean {
    const other = leader === this.node ? null : leader;
    // A read may be older than an announcement that the new leader has sent since.
    if (other !== null && term < this.leaderTerm) return false;
    if (other === this.currentLeader && (other === null || term === this.leaderTerm)) return false;
    this.currentLeader = other;
    if (other !== null) this.leaderTerm = term;
    return true;
  }

  /** Records that this controller has become the leader of the term. */
  lead(term: number): void {
    this.newestTerm = term;
    this.currentLeader = this.node;
    this.leaderTerm = term;
  }

  /** Records that this controller has stopped leading. */
  resign(): void {
    this.currentLeader = null;
  }
}
