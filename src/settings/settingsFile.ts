/** Reads a settings file and turns a failure into a `SettingsError`. */
import { SettingsError } from "./settingsError.js";
import { readTextFile, UnreadableFileError } from "./textFile.js";

/**
 * Returns the file's text.
 * @param hint A sentence on the file that the option expects, appended to the error message.
 * @throws SettingsError with one line: the path as given, the reason and the hint.
 */
export function readSettingsFile(path: string, hint: string): string {
  try {
    return readTextFile(path);
  } catch (error) {
    if (error instanceof UnreadableFileError) throw new SettingsError(`${error.message}. ${hint}`);
    throw error;
  }
}
