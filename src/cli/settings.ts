/** Loads the settings files for the commands `serve` and `check`. */
import { loadOperatorSettings, type OperatorSettings } from "../settings/operator.js";
import { loadPlatformSettings, type PlatformSettings } from "../settings/platform.js";
import { UsageError, type Arguments } from "./arguments.js";

/** The validated contents of both settings files. */
export interface Settings {
  platform: PlatformSettings;
  operator: OperatorSettings;
}

/**
 * Loads the settings files that the command line names.
 * @throws UsageError if `--config` is missing.
 * @throws SettingsError if the settings are invalid.
 */
export async function loadSettings(command: string, { config, operator }: Arguments): Promise<Settings> {
  if (config === undefined) throw new UsageError(`${command} needs --config FILE`);
  const platform = loadPlatformSettings(config);
  return { platform, operator: await loadOperatorSettings(operator) };
}
