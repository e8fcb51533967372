/** Reads a settings file. */
import { SettingsError } from "./settingsError.js";
import { readTextFile, UnreadableFileError } from "./textFile.js";

/**
 * The file's text.
 * @param hint What the command line expects there, as a sentence; it ends the message of an error.
 * @throws SettingsError in one line: the path as given, the reason, the hint.
 */
export function readSettingsFile(path: string, hint: string): string {
  try {
    return readTextFile(path);
  } catch (error) {
    if (error instanceof UnreadableFileError) throw new SettingsError(`${error.message}. ${hint}`);
    throw error;
  }
}
