/** What this controller knows of terms and their leaders, from its reads and from what others announce. */
export class KnownLeadership {
  /** The state store has been read at least once: before that nothing can be said of later terms. */
  hasBeenRead = false;
  private newestTerm = 0;
  private currentLeader: string | null = null;
  private leaderTerm = 0;

  constructor(private readonly node: string) {}

  /** The newest term that this controller knows of. */
  get term(): number {
    return this.newestTerm;
  }

  /** Who leads, this controller included; null: nobody, as far as known. `term` is that of the last known leader. */
  get leader(): { node: string | null; term: number } {
    return { node: this.currentLeader, term: this.leaderTerm };
  }

  /** There is, or was, such a term. */
  observeTerm(term: number): void {
    this.newestTerm = Math.max(this.newestTerm, term);
  }

  /**
   * That controller, or nobody, leads; called while this controller does not. True when that is new. A record that names
   * this controller counts as nobody: it is left from before.
   */
  observeLeader(leader: string | null, term: number): boolean {
    const other = leader === this.node ? null : leader;
    // A read may be older than what the leader itself has announced since.
    if (other !== null && term < this.leaderTerm) return false;
    if (other === this.currentLeader && (other === null || term === this.leaderTerm)) return false;
    this.currentLeader = other;
    if (other !== null) this.leaderTerm = term;
    return true;
  }

  /** This controller begins to lead that term. */
  lead(term: number): void {
    this.newestTerm = term;
    this.currentLeader = this.node;
    this.leaderTerm = term;
  }

  /** This controller leads no more. */
  resign(): void {
    this.currentLeader = null;
  }
}
