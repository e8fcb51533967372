/** The stored form of a machine and its zone in a chunk's record. Zones may contain spaces, and so may machine names. */
import { asArray } from "../protocol/json.js";
import { UNKNOWN_ZONE } from "../protocol/model.js";
import type { KnownZones } from "./knownZones.js";

/** A machine that a record names. */
export interface StoredMachine {
  machine: string;
  /** `UNKNOWN_ZONE` if the record does not show it with certainty. */
  zone: string;
}

const SEPARATOR = " ";

/**
 * Encodes "name zone", which all versions read, or the pair [name, zone] if the name contains a space. Earlier versions
 * wrote "name zone" for such names, too.
 */
export function encodeStoredMachine({ machine, zone }: StoredMachine): unknown {
  return machine.includes(SEPARATOR) ? [machine, zone] : machine + SEPARATOR + zone;
}

/** Decodes a machine; null if the value is not one. */
export function decodeStoredMachine(value: unknown, zones: KnownZones): StoredMachine | null {
  if (typeof value === "string") return value === "" ? null : decodeText(value, zones);
  const [machine, zone] = asArray(value) ?? [];
  if (typeof machine !== "string" || machine === "" || typeof zone !== "string") return null;
  return { machine, zone: zones.certainZone(zone) };
}

/**
 * Splits "name zone" where a known zone follows. If there are several such places, the first one ends the name, and the
 * zone is unknown. If there is none, the zone is unknown, and the name ends at the first space, or at the end if no zone
 * was stored.
 */
function decodeText(text: string, zones: KnownZones): StoredMachine {
  const splits = splitsOf(text);
  const candidates = splits.filter(({ zone }) => zones.has(zone));
  const [candidate] = candidates;
  if (candidate) {
    const zone = candidates.length === 1 ? zones.certainZone(candidate.zone) : UNKNOWN_ZONE;
    return { machine: candidate.machine, zone };
  }
  const split = splits.find(({ zone }) => zone === UNKNOWN_ZONE) ?? splits[0];
  return { machine: split?.machine ?? text, zone: UNKNOWN_ZONE };
}

/** The ways to read the text as a name that is not empty, a space and a zone; those with shorter names first. */
function splitsOf(text: string): StoredMachine[] {
  const splits: StoredMachine[] = [];
  for (let index = text.indexOf(SEPARATOR, 1); index > 0; index = text.indexOf(SEPARATOR, index + 1))
    splits.push({ machine: text.slice(0, index), zone: text.slice(index + SEPARATOR.length) });
  return splits;
}
