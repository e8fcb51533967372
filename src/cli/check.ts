/** `lichenturn check`: reads the settings and says what is wrong with them. */
import { refuseOperands, type Arguments } from "./arguments.js";
import { ExitCode } from "./exitCode.js";
import { loadSettings } from "./settings.js";

/** Reports fine settings on standard output; wrong ones are thrown as a SettingsError. */
export async function check(operands: string[], options: Arguments): Promise<ExitCode> {
  refuseOperands(operands);
  const { platform } = await loadSettings("check", options);
  process.stdout.write(`settings are fine: node ${platform.node}, ${platform.teams.length} teams\n`);
  return ExitCode.done;
}
