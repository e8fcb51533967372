import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { builtinModules } from "node:module";
import test from "node:test";

const root = new URL("../../../", import.meta.url);

/**
 * A controller starts on a few hundredths of a core: read as seventy modules, its own code took as much of that as Node.js
 * itself, and a takeover waited for it.
 */
test("the program is one file that loads nothing but Node.js's own modules at start", () => {
  const run = /^run = "(.*)"$/m.exec(readFileSync(new URL("deploy/service.toml", root), "utf8"))?.[1] ?? "";
  const file = run.split(" ").find((word) => word.endsWith(".js"));
  assert.equal(file, "target/main.js");
  const text = readFileSync(new URL(file, root), "utf8");
  const loaded = [...text.matchAll(/^(?:import|export)\b[^;]*? from "([^"]+)";/gm)].map((m) => m[1]!);
  assert.ok(loaded.length > 0, "it imports something");
  for (const name of loaded)
    assert.ok(builtinModules.includes(name.replace(/^node:/, "")), `${name} is loaded from elsewhere`);
});
