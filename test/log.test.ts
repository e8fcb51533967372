import assert from "node:assert/strict";
import { describe, mock, test } from "node:test";
import { FleetUsageLog } from "../src/coordination/provisioning/fleetUsageLog.js";
import { MachineRegistry } from "../src/coordination/term/machineRegistry.js";
import type { MachineType } from "../src/protocol/model.js";
import { configureLog, log, quoteName } from "../src/transport/log.js";
import { SimClock } from "./fakes/clock.js";

/** Returns the lines that `run` logs, without their times. */
function linesOf(nodeName: string, run: () => void): string[] {
  const lines: string[] = [];
  const write = mock.method(process.stderr, "write", (text: string) => lines.push(text) > 0);
  try {
    configureLog("info", nodeName);
    run();
  } finally {
    write.mock.restore();
    configureLog("error", nodeName);
  }
  return lines.map((line) => line.slice(line.indexOf(" ") + 1));
}

// Guards against log lines whose parts cannot be told apart, or that seem to be several lines.
describe("a name in a log line is one word or a JSON string", () => {
  const cases: { name: string; quoted: string }[] = [
    { name: "host-000231", quoted: "host-000231" },
    { name: "10.1.0.2:9000", quoted: "10.1.0.2:9000" },
    { name: "győr_1/b", quoted: "győr_1/b" },
    { name: "pest kelet", quoted: '"pest kelet"' },
    { name: "a, b", quoted: '"a, b"' },
    { name: 'a"b', quoted: '"a\\"b"' },
    { name: "a\nhost-1: scaled in", quoted: '"a\\nhost-1: scaled in"' },
    { name: "", quoted: '""' },
  ];
  for (const { name, quoted } of cases) test(quoted, () => assert.equal(quoteName(name), quoted));
});

test("the name of a node in a log line is quoted if it contains a space", () => {
  const lines = linesOf("tuft 0", () => log.info("started"));
  assert.deepEqual(lines, ['info "tuft 0" started\n']);
});

test("the utilization of a type is told apart from that of another type's spot machines with the same label", () => {
  const machines = new MachineRegistry(1, new SimClock());
  for (const [index, name] of ["g8 (spot)", "g8"].entries())
    Object.assign(machines.getOrCreate(`host-${index}`, "a"), {
      type: { name, cpus: 4, gpus: 0, memoryGb: 16 } as MachineType,
      spot: name === "g8",
    });
  const lines = linesOf("n0", () => new FleetUsageLog(machines, -Infinity).sample(0));
  const shares = "0% running, 0% preparing, 0% free, 100% booting";
  assert.deepEqual(lines, [
    `info n0 fleet in the last minute: "g8 (spot)" 1.0: ${shares}; g8 (spot) 1.0: ${shares}\n`,
  ]);
});
