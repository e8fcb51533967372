/** `lichenturn check`: validates the settings files. */
import { rejectOperands, type Arguments } from "./arguments.js";
import { ExitCode } from "./exitCode.js";
import { loadSettings } from "./settings.js";

/**
 * Reports valid settings on standard output.
 * @throws SettingsError if the settings are invalid.
 */
export async function check(operands: string[], options: Arguments): Promise<ExitCode> {
  rejectOperands(operands);
  const { platform } = await loadSettings("check", options);
  process.stdout.write(`settings are valid: node ${platform.node}, ${platform.teams.length} teams\n`);
  return ExitCode.done;
}
