/** Versions of the singleton records: the machine types and the last round of moves. */
export class SingletonRecords {
  /** Version of the machine types' key; 0 if the key does not exist. */
  typesVersion = 0;
  /** Whether the leader knows machine types that are not yet written to the record. */
  hasUnwrittenTypes = false;
  /** Version of the moves' key; 0 if the key does not exist. */
  movesVersion = 0;
}
