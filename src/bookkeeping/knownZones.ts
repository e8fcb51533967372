/** The zone names that a leader can check stored zones against. Guards the proofs that rely on a machine's zone. */
import { UNKNOWN_ZONE } from "../protocol/model.js";

const SEPARATOR = " ";

/** A set of zone names, and the names that earlier versions may have read instead of them. */
export class KnownZones {
  private readonly names: ReadonlySet<string>;
  /** Versions up to 0.5 read a stored zone only up to its first space, and stored that word again. */
  private readonly firstWords: ReadonlySet<string>;

  constructor(names: Iterable<string>) {
    this.names = new Set(names);
    const longNames = [...this.names].filter((name) => name.includes(SEPARATOR));
    this.firstWords = new Set(longNames.map((name) => name.slice(0, name.indexOf(SEPARATOR))));
  }

  /** Whether the name is that of a known zone. */
  has(name: string): boolean {
    return this.names.has(name);
  }

  /**
   * Returns the zone that a stored name certainly stands for, or `UNKNOWN_ZONE`: the name may be unknown, or the first
   * word of a longer one that an earlier version stored. A proof for an unknown zone takes every zone into account.
   */
  certainZone(storedName: string): string {
    return this.names.has(storedName) && !this.firstWords.has(storedName) ? storedName : UNKNOWN_ZONE;
  }
}
