/** Entry point: runs the command that the command line names and sets the exit code. `cli/` has a file per command. */
import { parseArguments, UsageError } from "./cli/arguments.js";
import { check } from "./cli/check.js";
import { ExitCode } from "./cli/exitCode.js";
import { HELP } from "./cli/help.js";
import { serve } from "./cli/serve.js";
import { version } from "./cli/version.js";
import { SettingsError } from "./settings/settingsError.js";

/** Runs the command that the arguments name. Returns its exit code, or null if the process keeps running. */
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
      // This command is loaded on demand, so that it does not slow the start of a controller.
      const { job } = await import("./cli/job.js");
      return job(operands, options);
    }
    case undefined:
      throw new UsageError("no command given");
    default:
      throw new UsageError(`unknown command ${JSON.stringify(command)}`);
  }
}

/** Reports a failed command on standard error and ends the process. */
function fail(error: unknown): never {
  const message = error instanceof Error ? error.message : String(error);
  const hint = error instanceof UsageError ? "Try lichenturn --help.\n" : "";
  process.stderr.write(`lichenturn: ${message}\n${hint}`);
  const isUserError = error instanceof UsageError || error instanceof SettingsError;
  process.exit(isUserError ? ExitCode.usage : ExitCode.failed);
}

run(process.argv.slice(2)).then((exitCode) => {
  if (exitCode !== null) process.exitCode = exitCode;
}, fail);
