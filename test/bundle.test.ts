import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { builtinModules } from "node:module";
import test from "node:test";
import { fileURLToPath } from "node:url";

const root = new URL("../../../", import.meta.url);

const runLine = /^run = "(.*)"$/m.exec(readFileSync(new URL("deploy/service.toml", root), "utf8"))?.[1] ?? "";

/**
 * A controller starts on a few hundredths of a core. Loaded as seventy modules, its code took as much processor time as
 * Node.js itself and delayed a takeover. A CommonJS file also avoids starting Node.js's loader for ES modules.
 */
test("the program is one CommonJS file that requires only Node.js's built-in modules", () => {
  const file = runLine.split(" ").find((word) => /\.[cm]?js$/.test(word));
  assert.equal(file, "target/main.cjs");
  const text = readFileSync(new URL(file, root), "utf8");
  assert.doesNotMatch(text, /^(?:import|export)\b/m, "the bundle must not be an ES module");
  const loaded = [...text.matchAll(/\brequire\("([^"]+)"\)/g)].map((match) => match[1]!);
  assert.ok(loaded.length > 0, "the bundle requires no module");
  for (const name of loaded)
    assert.ok(builtinModules.includes(name.replace(/^node:/, "")), `${name} is not a built-in module`);
});

/** Threads of the compiler and the garbage collector would compete with responses to workers for the same share of a core. */
test("the run line disables compiler and garbage collector threads", () => {
  assert.ok(runLine.split(" ").includes("--single-threaded"), runLine);
});

test("the bundled program prints its version and rejects a missing settings file", () => {
  const main = fileURLToPath(new URL("target/main.cjs", root));
  const { version } = JSON.parse(readFileSync(new URL("package.json", root), "utf8")) as { version: string };
  const versionRun = spawnSync(process.execPath, [main, "--version"], { encoding: "utf8" });
  assert.deepEqual([versionRun.status, versionRun.stdout], [0, `lichenturn ${version}\n`]);
  const checkRun = spawnSync(process.execPath, [main, "check", "--config", "nowhere.toml"], {
    encoding: "utf8",
  });
  assert.equal(checkRun.status, 2);
  assert.match(checkRun.stderr, /^lichenturn: .*nowhere\.toml/);
});
