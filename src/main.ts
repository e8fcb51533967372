/** The command line: finds the command, and turns its outcome into an exit code. Each command is a file in `cli/`. */
import { parseArguments, UsageError } from "./cli/arguments.js";
import { check } from "./cli/check.js";
import { ExitCode } from "./cli/exitCode.js";
import { HELP } from "./cli/help.js";
import { serve } from "./cli/serve.js";
import { version } from "./cli/version.js";
import { SettingsError } from "./settings/settingsError.js";

/** Runs the command that the arguments name; null: the process goes on until it is killed. */
async function run(argv: string[]): Promise<ExitCode | null> {
  const options = parseArguments(argv);
  if (options.help) {
    process.stdout.write(HELP);
    return ExitCode.done;
  }
  if (options.version) {
    process.stdout.write(`lichenturn ${version()}\n`);
    return ExitCode.done;
  }
  const [command, ...operands] = options.positionals;
  switch (command) {
    case "serve":
      await serve(operands, options);
      return null;
    case "check":
      return check(operands, options);
    case "job": {
      // Loaded only here: the start of a controller doesn't pay for it.
      const { job } = await import("./cli/job.js");
      return job(operands, options);
    }
    case undefined:
      throw new UsageError("no command given");
    default:
      throw new UsageError(`unknown command ${JSON.stringify(command)}`);
  }
}

/** Says on standard error why the command failed, and ends the process. */
function fail(error: unknown): never {
  const message = error instanceof Error ? error.message : String(error);
  const hint = error instanceof UsageError ? "Try lichenturn --help.\n" : "";
  process.stderr.write(`lichenturn: ${message}\n${hint}`);
  const isUsersMistake = error instanceof UsageError || error instanceof SettingsError;
  process.exit(isUsersMistake ? ExitCode.usage : ExitCode.failed);
}

run(process.argv.slice(2)).then((exitCode) => {
  if (exitCode !== null) process.exitCode = exitCode;
}, fail);
