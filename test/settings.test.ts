import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "node:test";
import { fileURLToPath } from "node:url";
import { defaultOperatorSettings, parseOperatorSettings } from "../src/settings/operator.js";
import { parsePlatformSettings } from "../src/settings/platform.js";

const validSettings = `
node_name = "n0"
zone = "a"
serve_on = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
colour = "a field to come"
[[peers]]
node_name = "n1"
zone = "a"
address = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
size = 3
zones = ["a", "b"]
clock_error_ms = 100.0
[[cluster.teams]]
name = "t"
cpus = 48
cpus_max = 136.0
gpus = 2.0
gpus_max = 6.0
[cluster.workers]
report_s = 2.0
lease_s = 14.0
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = 39.0
[cluster.state]
rps = 120.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 20
[cluster.cloud]
rps = 5.0
list_lag_s = 8.0
[cluster.machine_limits]
cpu = 0.17
mem_mb = 178.0
max_connections = 1200
`;

test("each error in the platform settings is reported with its path, value and reason", () => {
  assert.equal(parsePlatformSettings(validSettings).teams[0]?.guaranteedCpus, 48);
  // A guest team has neither a guarantee nor a limit.
  const guest = '[[cluster.teams]]\nname = "g"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n';
  assert.deepEqual(
    parsePlatformSettings(validSettings.replace("[cluster.workers]", `${guest}[cluster.workers]`)).teams[1],
    {
      name: "g",
      guaranteedCpus: 0,
      maxCpus: Infinity,
      guaranteedGpus: 0,
      maxGpus: Infinity,
    },
  );
  const cases: [string, string, RegExp][] = [
    ['node_name = "n0"', "", /^node_name: missing, must be a non-empty string$/],
    ['serve_on = "10.0.0.1:8080"', 'serve_on = "10.0.0.1"', /^serve_on = "10.0.0.1": must be an address/],
    ["cpus_max = 136.0", 'cpus_max = "many"', /^cluster\.teams\[0\]\.cpus_max = "many": must be a number/],
    ["lease_s = 14.0", "lease_s = -1.0", /^cluster\.workers\.lease_s = -1: must be a number from 0\.1/],
    ['address = "10.0.0.2:8081"', "address = 3", /^peers\[0\]\.address = 3/],
    ["[endpoints]", "[endpoint]", /^endpoints: missing, must be a table/],
    ['zones = ["a", "b"]', "zones = []", /^cluster\.zones = \[\]: must be a non-empty array/],
    ["size = 3", "size = ", /^not TOML/],
  ];
  for (const [from, to, want] of cases) {
    assert.ok(validSettings.includes(from));
    assert.throws(
      () => parsePlatformSettings(validSettings.replace(from, to)),
      (error: Error) => want.test(error.message),
      `${from} -> ${to}`,
    );
  }
});

test("settings of a later platform version are accepted: unknown fields, classes and kinds of objectives", () => {
  const later = validSettings
    .replace(
      "[cluster.workers]",
      '[[cluster.objectives]]\nkind = "mood"\nclass = "nobody"\n[cluster.workers]',
    )
    .replace("[endpoints]", '[endpoints]\nledger = "10.0.0.9:1"')
    .replace('node_name = "n0"', 'node_name = "n0"\nhue = "green"');
  assert.equal(parsePlatformSettings(later).objectives.at(-1)?.kind, "mood");
});

test("serve with invalid settings exits with code 2 and one line that names field, value and expectation", () => {
  const folder = mkdtempSync(join(tmpdir(), "lichenturn-settings-"));
  const main = fileURLToPath(new URL("../src/main.js", import.meta.url));
  const cases: [string, string, RegExp][] = [
    [
      "lease_s = 14.0",
      "lease_s = -1.0",
      /^lichenturn: cluster\.workers\.lease_s = -1: must be a number from 0\.1 to \d+\n$/,
    ],
    ['node_name = "n0"', "", /^lichenturn: node_name: missing, must be a non-empty string\n$/],
    ["size = 3", "size = ", /^lichenturn: not TOML: [^\n]+\n$/],
  ];
  try {
    for (const [from, to, want] of cases) {
      const file = join(folder, "settings.toml");
      writeFileSync(file, validSettings.replace(from, to));
      const run = spawnSync(process.execPath, [main, "serve", "--config", file], {
        encoding: "utf8",
        timeout: 20_000,
      });
      assert.equal(run.status, 2, from);
      assert.match(run.stderr, want);
    }
    const missing = spawnSync(process.execPath, [main, "serve", "--config", join(folder, "none.toml")], {
      encoding: "utf8",
    });
    assert.equal(missing.status, 2);
    assert.match(missing.stderr, /none\.toml: no such file\. --config takes [^\n]+\n$/);
  } finally {
    rmSync(folder, { recursive: true });
  }
});

test("operators' settings override the defaults, and invalid ones are rejected", async () => {
  assert.deepEqual(await parseOperatorSettings("<lichenturn/>"), defaultOperatorSettings);
  const set = await parseOperatorSettings(
    '<lichenturn><magnet degrad="0.7" moveCap="2"/><fleet idleKeepS="30"/></lichenturn>',
  );
  assert.deepEqual(
    [set.highLoadShare, set.maxMovesPerRound, set.idleKeepS, set.overloadShare],
    [0.7, 2, 30, defaultOperatorSettings.overloadShare],
  );
  for (const [text, want] of [
    ["<lichenturn", /not XML/],
    ["<other/>", /the root must be lichenturn/],
    [
      '<lichenturn><magnet degrad="1.5"/></lichenturn>',
      /\/lichenturn\/magnet\/@degrad = "1.5": must be a number from 0.05 to 1/,
    ],
    ['<lichenturn><magnet pull="1"/></lichenturn>', /@pull = "1": unknown setting/],
    ['<lichenturn><a moveCap="1"/><b moveCap="2"/></lichenturn>', /set more than once/],
    ['<lichenturn><magnet violate="0.5"/></lichenturn>', /must not be below degrad/],
  ] as const) {
    await assert.rejects(parseOperatorSettings(text), want, text);
  }
});
