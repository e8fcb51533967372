/** Map keys for several values, of which any may contain any character. */

/** Returns a key that only equal values in the same order share. */
export function compositeKey(...values: (string | number | boolean | readonly string[] | null)[]): string {
  return JSON.stringify(values);
}
