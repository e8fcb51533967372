/** Owns the versions of the records of which there is one each: the machine types and the last round of moves. */
export class SingletonRecords {
  /** Version of the machine types' key; 0: it does not exist. */
  typesVersion = 0;
  /** The leader knows machine types that the record does not hold yet. */
  typesDirty = false;
  /** Version of the moves' key; 0: it does not exist. */
  movesVersion = 0;
}
