/** Tests the command line as a child process: exit codes, standard output and standard error, and the example settings. */
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test, { after, before, describe } from "node:test";
import { fileURLToPath } from "node:url";

const main = fileURLToPath(new URL("../src/main.js", import.meta.url));
/** The repository's root, relative to the compiled test. */
const root = fileURLToPath(new URL("../../../", import.meta.url));
const exampleSettings = join(root, "deploy/example-settings.toml");
const exampleOperator = join(root, "deploy/example-operator.xml");

interface CommandResult {
  code: number | null;
  stdout: string;
  stderr: string;
}

/** Runs the program in the temporary folder; asynchronously, so that this process can serve its requests. */
function runCommand(args: string[], input = ""): Promise<CommandResult> {
  return new Promise((resolve, reject) => {
    const child = spawn(process.execPath, [main, ...args], { cwd: folder, timeout: 20_000 });
    const run: CommandResult = { code: null, stdout: "", stderr: "" };
    child.stdout.on("data", (part: Buffer) => (run.stdout += part.toString()));
    child.stderr.on("data", (part: Buffer) => (run.stderr += part.toString()));
    child.on("error", reject);
    child.on("close", (code) => resolve({ ...run, code }));
    child.stdin.end(input);
  });
}

let folder = "";
before(() => {
  folder = mkdtempSync(join(tmpdir(), "lichenturn-cli-"));
  writeFileSync(join(folder, "words.txt"), "# no settings and no job\n");
});
after(() => rmSync(folder, { recursive: true }));

describe("the examples in deploy/", () => {
  test("are accepted by check", async () => {
    const run = await runCommand(["check", "--config", exampleSettings, "--operator", exampleOperator]);
    assert.deepEqual(run, { code: 0, stdout: "settings are valid: node n0, 2 teams\n", stderr: "" });
  });
});

test("help is printed on standard output and lists every command", async () => {
  for (const flag of ["--help", "-h"]) {
    const run = await runCommand([flag]);
    assert.deepEqual([run.code, run.stderr], [0, ""]);
    for (const command of ["serve", "check", "job submit", "job show", "job cancel"])
      assert.match(run.stdout, new RegExp(`^ {2}lichenturn ${command} `, "m"));
  }
});

describe("invalid usage is reported on standard error with exit code 2 and a reference to the help", () => {
  const cases: [string[], string][] = [
    [[], "no command given"],
    [["frob"], 'unknown command "frob"'],
    [["check"], "check needs --config FILE"],
    [["serve"], "serve needs --config FILE"],
    [["check", "more", "--config", "x.toml"], 'unexpected argument "more"'],
    [["check", "--config"], "Option '--config <value>' argument missing"],
    [["job"], "job takes submit, show or cancel"],
    [["job", "stop", "job-1"], "job takes submit, show or cancel"],
    [["job", "show"], "job show takes one argument"],
    [["job", "show", "job-1", "job-2"], "job show takes one argument"],
    [["job", "cancel", "job-1"], "job cancel needs --server ADDRESS"],
  ];
  for (const [args, message] of cases)
    test(`lichenturn ${args.join(" ")}`, async () => {
      const run = await runCommand(args);
      const stderr = `lichenturn: ${message}\nTry lichenturn --help.\n`;
      assert.deepEqual(run, { code: 2, stdout: "", stderr });
    });
  test("lichenturn --frob", async () => {
    const run = await runCommand(["--frob"]);
    assert.deepEqual([run.code, run.stdout], [2, ""]);
    assert.match(run.stderr, /^lichenturn: Unknown option '--frob'[^\n]*\nTry lichenturn --help\.\n$/);
  });
});

describe("a settings file that can't be read is reported in one line with exit code 2", () => {
  const platformHint =
    "--config takes the platform's settings (TOML); deploy/example-settings.toml is an example.";
  const operatorHint =
    "--operator takes the operators' settings (XML); deploy/example-operator.xml is an example.";
  const cases: [string[], string][] = [
    [["--config", "none.toml"], `none.toml: no such file. ${platformHint}`],
    [["--config", "."], `.: is a directory, not a file. ${platformHint}`],
    [
      ["--config", "words.txt/x.toml"],
      `words.txt/x.toml: no such file: a part of its path is not a directory. ${platformHint}`,
    ],
    [["--config", exampleSettings, "--operator", "none.xml"], `none.xml: no such file. ${operatorHint}`],
  ];
  for (const command of ["check", "serve"])
    for (const [args, message] of cases)
      test(`${command}: ${message}`, async () => {
        const run = await runCommand([command, ...args]);
        assert.deepEqual(run, { code: 2, stdout: "", stderr: `lichenturn: ${message}\n` });
      });
  test("check reports a file in another format", async () => {
    const asPlatform = await runCommand(["check", "--config", "words.txt"]);
    assert.equal(asPlatform.code, 2);
    assert.match(asPlatform.stderr, /^lichenturn: (not TOML: [^\n]+|endpoints: missing[^]+)\n$/);
    const asOperator = await runCommand(["check", "--config", exampleSettings, "--operator", "words.txt"]);
    assert.equal(asOperator.code, 2);
    assert.match(asOperator.stderr, /^lichenturn: not XML: [^\n]+\n$/);
  });
});

describe("job", () => {
  interface ReceivedRequest {
    method: string | undefined;
    url: string | undefined;
    body: string;
  }
  let server: http.Server;
  let address = "";
  let calls: ReceivedRequest[] = [];
  let response = { status: 200, body: {} };

  before(async () => {
    server = http.createServer((request, reply) => {
      let body = "";
      request.on("data", (part: Buffer) => (body += part.toString()));
      request.on("end", () => {
        calls.push({ method: request.method, url: request.url, body });
        reply.writeHead(response.status).end(JSON.stringify(response.body));
      });
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    writeFileSync(join(folder, "job.json"), '{"ref":"job-7"}');
  });
  after(() => server.close());

  const actions: [string, string, string, ReceivedRequest][] = [
    ["submit", "job.json", "", { method: "POST", url: "/v1/jobs", body: '{"ref":"job-7"}' }],
    ["submit", "-", '{ "ref": "job-8" }', { method: "POST", url: "/v1/jobs", body: '{"ref":"job-8"}' }],
    ["show", "job-7", "", { method: "GET", url: "/v1/jobs/job-7", body: "" }],
    ["cancel", "job-7", "", { method: "POST", url: "/v1/jobs/job-7/cancel", body: "{}" }],
  ];
  for (const [action, operand, input, call] of actions)
    test(`${action} ${operand} sends its request and prints the response`, async () => {
      calls = [];
      response = { status: action === "submit" ? 201 : 200, body: { ref: "job-7", phase: "pending" } };
      const run = await runCommand(["job", action, operand, "--server", address], input);
      assert.deepEqual(run, { code: 0, stdout: '{"ref":"job-7","phase":"pending"}\n', stderr: "" });
      assert.deepEqual(calls, [call]);
    });

  test("an error response is printed with its status on standard error, with exit code 1", async () => {
    response = { status: 404, body: { error: "no such job" } };
    const run = await runCommand(["job", "show", "job-9", "--server", address]);
    assert.deepEqual(run, { code: 1, stdout: "", stderr: '404 {"error":"no such job"}\n' });
  });

  test("a missing response gives exit code 1 and says whether the request may have been executed", async () => {
    const closed = http.createServer((_request, reply) => reply.destroy());
    await new Promise<void>((resolve) => closed.listen(0, "127.0.0.1", resolve));
    const closedAddress = `127.0.0.1:${(closed.address() as AddressInfo).port}`;
    const cut = await runCommand(["job", "show", "job-7", "--server", closedAddress]);
    assert.deepEqual([cut.code, cut.stdout], [1, ""]);
    assert.match(
      cut.stderr,
      /^lichenturn: no response: [^\n]+; the request may have been executed; repeating it is safe\n$/,
    );
    await new Promise((resolve) => closed.close(resolve));
    const refused = await runCommand(["job", "show", "job-7", "--server", closedAddress]);
    assert.deepEqual([refused.code, refused.stdout], [1, ""]);
    assert.match(refused.stderr, /^lichenturn: no response: [^\n]+; is a controller running there\?\n$/);
  });

  const invalidRequests: [string[], string, string][] = [
    [["submit", "none.json"], "127.0.0.1:1", "none.json: no such file"],
    [["submit", "words.txt"], "127.0.0.1:1", "words.txt: not JSON: "],
    [["show", "seven"], "127.0.0.1:1", "seven: must be a job ID such as job-000412"],
    [["show", "job-7"], "here", "--server here: must be an address such as 127.0.0.1:8080"],
  ];
  for (const [args, serverAddress, message] of invalidRequests)
    test(`an invalid request is reported with exit code 1: ${message}`, async () => {
      const run = await runCommand(["job", ...args, "--server", serverAddress]);
      assert.deepEqual([run.code, run.stdout], [1, ""]);
      assert.ok(run.stderr.startsWith(`lichenturn: ${message}`), run.stderr);
      assert.match(run.stderr, /^[^\n]+\n$/);
    });
});
