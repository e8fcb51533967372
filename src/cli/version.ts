/** The program's version. */
import { readFileSync } from "node:fs";

/** As `package.json` says, one folder above the bundled program (`target/main.cjs`). */
export function version(): string {
  const text = readFileSync(new URL("../package.json", import.meta.url), "utf8");
  return (JSON.parse(text) as { version: string }).version;
}
