/** Checks of JSON values whose form is not known yet: each gives the value back if it is of the kind named, else null. */

/** A JSON object whose fields have not been checked. */
export type JsonObject = Record<string, unknown>;

/** The value if it is a JSON object; null otherwise. */
export function asObject(value: unknown): JsonObject | null {
  return typeof value === "object" && value !== null && !Array.isArray(value) ? (value as JsonObject) : null;
}

/** The value if it is a string other than ""; null otherwise. */
export function asNonEmptyString(value: unknown): string | null {
  return typeof value === "string" && value !== "" ? value : null;
}

/** The value if it is true or false; null otherwise. */
export function asBoolean(value: unknown): boolean | null {
  return typeof value === "boolean" ? value : null;
}

/** Finite. */
export function asNonNegativeNumber(value: unknown): number | null {
  return typeof value === "number" && Number.isFinite(value) && value >= 0 ? value : null;
}

/** The value if it is a whole number from 0; null otherwise. */
export function asNonNegativeInteger(value: unknown): number | null {
  return typeof value === "number" && Number.isInteger(value) && value >= 0 ? value : null;
}

/** The value if it is an array; null otherwise. */
export function asArray(value: unknown): unknown[] | null {
  return Array.isArray(value) ? (value as unknown[]) : null;
}

/** The array's non-empty strings; whatever else it holds is left out. Null when it is no array. */
export function asStrings(value: unknown): string[] | null {
  return asArray(value)?.filter((entry): entry is string => asNonEmptyString(entry) !== null) ?? null;
}

/** Parses JSON; undefined when it isn't. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8")) as unknown;
  } catch {
    return undefined;
  }
}
