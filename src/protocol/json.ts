/** Type checks of unvalidated JSON values: each returns the value if it has the named type, and null otherwise. */

/** A JSON object whose fields have not been validated. */
export type JsonObject = Record<string, unknown>;

/** Returns the value if it is an object, and null otherwise; arrays and null are not objects. */
export function asObject(value: unknown): JsonObject | null {
  return typeof value === "object" && value !== null && !Array.isArray(value) ? (value as JsonObject) : null;
}

/** Returns the value if it is a string other than "", and null otherwise. */
export function asNonEmptyString(value: unknown): string | null {
  return typeof value === "string" && value !== "" ? value : null;
}

/** Returns the value if it is true or false, and null otherwise. */
export function asBoolean(value: unknown): boolean | null {
  return typeof value === "boolean" ? value : null;
}

/** Returns the value if it is a finite number that is not negative, and null otherwise. */
export function asNonNegativeNumber(value: unknown): number | null {
  return typeof value === "number" && Number.isFinite(value) && value >= 0 ? value : null;
}

/** Returns the value if it is an integer that is not negative, and null otherwise. */
export function asNonNegativeInteger(value: unknown): number | null {
  return typeof value === "number" && Number.isInteger(value) && value >= 0 ? value : null;
}

/** Returns the value if it is an array, and null otherwise; the elements are not validated. */
export function asArray(value: unknown): unknown[] | null {
  return Array.isArray(value) ? (value as unknown[]) : null;
}

/** Returns the array's non-empty strings and skips its other elements; null if the value is not an array. */
export function asStrings(value: unknown): string[] | null {
  return asArray(value)?.filter((entry): entry is string => asNonEmptyString(entry) !== null) ?? null;
}

/** Parses UTF-8 JSON; returns undefined if the body is not valid JSON. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8")) as unknown;
  } catch {
    return undefined;
  }
}
