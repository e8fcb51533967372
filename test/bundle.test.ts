import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { builtinModules } from "node:module";
import test from "node:test";
import { fileURLToPath } from "node:url";

const root = new URL("../../../", import.meta.url);

const runLine = /^run = "(.*)"$/m.exec(readFileSync(new URL("deploy/service.toml", root), "utf8"))?.[1] ?? "";

/**
 * A controller starts on a few hundredths of a core: read as seventy modules, its own code took as much of that as Node.js
 * itself, and a takeover waited for it. A CommonJS file also spares the start of Node.js's loader for ES modules.
 */
test("the program is one CommonJS file that loads nothing but Node.js's own modules at start", () => {
  const file = runLine.split(" ").find((word) => /\.[cm]?js$/.test(word));
  assert.equal(file, "target/main.cjs");
  const text = readFileSync(new URL(file, root), "utf8");
  assert.doesNotMatch(text, /^(?:import|export)\b/m, "it is no ES module");
  const loaded = [...text.matchAll(/\brequire\("([^"]+)"\)/g)].map((match) => match[1]!);
  assert.ok(loaded.length > 0, "it loads something");
  for (const name of loaded)
    assert.ok(builtinModules.includes(name.replace(/^node:/, "")), `${name} is loaded from elsewhere`);
});

/** Threads of the compiler and the collector take their time from the same share of a core as the answers to workers. */
test("the run line starts no compiler or collector threads", () => {
  assert.ok(runLine.split(" ").includes("--single-threaded"), runLine);
});

test("the bundled program tells its version and refuses wrong settings", () => {
  const main = fileURLToPath(new URL("target/main.cjs", root));
  const { version } = JSON.parse(readFileSync(new URL("package.json", root), "utf8")) as { version: string };
  const told = spawnSync(process.execPath, [main, "--version"], { encoding: "utf8" });
  assert.deepEqual([told.status, told.stdout], [0, `lichenturn ${version}\n`]);
  const refused = spawnSync(process.execPath, [main, "check", "--config", "nowhere.toml"], {
    encoding: "utf8",
  });
  assert.equal(refused.status, 2);
  assert.match(refused.stderr, /^lichenturn: .*nowhere\.toml/);
});
