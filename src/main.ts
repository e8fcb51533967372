import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { loadOperator } from "./settings/operator.js";
import { loadPlatform } from "./settings/platform.js";
import { SettingsError } from "./settings/settingsError.js";
import { systemClock } from "./transport/clock.js";
import { log, configureLog } from "./transport/log.js";

const HELP = `lichenturn - rents cloud machines and runs its users' jobs on them

  lichenturn serve --config FILE [--operator FILE]   run a controller until it is killed
  lichenturn check --config FILE [--operator FILE]   check settings and say what is wrong with them
  lichenturn job submit --server ADDRESS FILE        submit the job described in FILE (- for standard input)
  lichenturn job show --server ADDRESS ID            show a job's state
  lichenturn job cancel --server ADDRESS ID          cancel a job
  lichenturn --help | --version

  --config FILE     the platform's settings (TOML)
  --operator FILE   the operators' own settings (XML); defaults without it
  --server ADDRESS  a controller's or load balancer's address, such as 127.0.0.1:8080

Logs go to standard error, as much as LOG_LEVEL asks for: error, info (default) or debug.
Exit codes: 0 done; 1 the service refused or failed; 2 wrong usage or settings.
`;

class UsageError extends Error {}

function version(): string {
  const text = readFileSync(new URL("../package.json", import.meta.url), "utf8");
  return (JSON.parse(text) as { version: string }).version;
}

async function main(argv: string[]): Promise<number> {
  const { values, positionals } = parseArgs({
    args: argv,
    allowPositionals: true,
    options: {
      config: { type: "string" },
      operator: { type: "string" },
      server: { type: "string" },
      help: { type: "boolean", short: "h" },
      version: { type: "boolean", short: "V" },
    },
  });
  if (values.help) {
    process.stdout.write(HELP);
    return 0;
  }
  if (values.version) {
    process.stdout.write(`lichenturn ${version()}\n`);
    return 0;
  }
  const [verb, ...rest] = positionals;
  switch (verb) {
    case "serve":
    case "check": {
      if (rest.length > 0) throw new UsageError(`unexpected argument ${JSON.stringify(rest[0])}`);
      if (values.config === undefined) throw new UsageError(`${verb} needs --config FILE`);
      const platform = loadPlatform(values.config);
      const operator = await loadOperator(values.operator);
      if (verb === "check") {
        process.stdout.write(`settings are fine: node ${platform.node}, ${platform.teams.length} teams\n`);
        return 0;
      }
      configureLog(process.env.LOG_LEVEL, platform.node);
      process.on("uncaughtException", (error) => log.error(`uncaught: ${String(error.stack ?? error)}`));
      process.on("unhandledRejection", (error) => log.error(`unhandled: ${String(error)}`));
      const { serve } = await import("./controller/controller.js");
      await serve(platform, operator, systemClock);
      return -1;
    }
    case "job": {
      const { runJobCall } = await import("./cli/jobCommand.js");
      const [call, what, ...more] = rest;
      if (call !== "submit" && call !== "show" && call !== "cancel") {
        throw new UsageError("job takes submit, show or cancel");
      }
      if (what === undefined || more.length > 0) throw new UsageError(`job ${call} takes one argument`);
      if (values.server === undefined) throw new UsageError(`job ${call} needs --server ADDRESS`);
      return runJobCall(call, values.server, what);
    }
    case undefined:
      throw new UsageError("no command given");
    default:
      throw new UsageError(`unknown command ${JSON.stringify(verb)}`);
  }
}

main(process.argv.slice(2)).then(
  (code) => {
    if (code >= 0) process.exitCode = code;
  },
  (error: unknown) => {
    const usage =
      error instanceof UsageError || (error as { code?: string }).code?.startsWith("ERR_PARSE_ARGS");
    const message = error instanceof Error ? error.message : String(error);
    process.stderr.write(`lichenturn: ${message}\n${usage ? "Try lichenturn --help.\n" : ""}`);
    process.exit(usage || error instanceof SettingsError ? 2 : 1);
  },
);
