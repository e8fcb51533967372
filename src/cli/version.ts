/** The program's version. */
import { readFileSync } from "node:fs";

/** Returns the version in `package.json`, which is one directory above the bundled program (`target/main.cjs`). */
export function version(): string {
  const text = readFileSync(new URL("../package.json", import.meta.url), "utf8");
  return (JSON.parse(text) as { version: string }).version;
}
