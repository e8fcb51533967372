/** The settings that `serve` and `check` share. */
import { loadOperator, type Operator } from "../settings/operator.js";
import { loadPlatform, type Platform } from "../settings/platform.js";
import { UsageError, type Arguments } from "./arguments.js";

/** Both settings files, read and checked. */
export interface Settings {
  platform: Platform;
  operator: Operator;
}

/**
 * Reads the settings files that the command line names.
 * @throws UsageError when `--config` is missing, SettingsError for wrong settings.
 */
export async function loadSettings(command: string, { config, operator }: Arguments): Promise<Settings> {
  if (config === undefined) throw new UsageError(`${command} needs --config FILE`);
  const platform = loadPlatform(config);
  return { platform, operator: await loadOperator(operator) };
}
