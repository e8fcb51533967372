/** Reads a settings file, and says in words why it can't be read. */
import { readFileSync } from "node:fs";
import { SettingsError } from "./settingsError.js";

/** The system's error codes in words. */
const REASONS: Record<string, string> = {
  ENOENT: "no such file",
  EISDIR: "is a folder, not a file",
  ENOTDIR: "no such file: a part of its path is not a folder",
  EACCES: "this user may not read it",
  EPERM: "this user may not read it",
};

/**
 * The file's text.
 * @param hint What the command line expects there, as a sentence; it ends the message of an error.
 * @throws SettingsError in one line: the path as given, the reason, the hint.
 */
export function readSettingsFile(path: string, hint: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (error) {
    const { code, message } = error as NodeJS.ErrnoException;
    throw new SettingsError(`${path}: ${REASONS[code ?? ""] ?? message}. ${hint}`);
  }
}
