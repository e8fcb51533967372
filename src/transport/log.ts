import loglevel from "loglevel";

export type Level = "error" | "info" | "debug";

/** All logs go to standard error, one line each. */
export function setupLog(level: string | undefined, name: string): void {
  loglevel.methodFactory =
    (method) =>
    (...parts: unknown[]) => {
      process.stderr.write(`${new Date().toISOString()} ${method} ${name} ${parts.map(String).join(" ")}\n`);
    };
  const known: Record<string, Level> = { error: "error", info: "info", debug: "debug" };
  loglevel.setLevel(known[level ?? "info"] ?? "info", false);
}

export const log = {
  error: (text: string): void => loglevel.error(text),
  info: (text: string): void => loglevel.info(text),
  /** The text is made only when somebody reads it. */
  debug: (text: () => string): void => {
    if (loglevel.getLevel() <= loglevel.levels.DEBUG) loglevel.debug(text());
  },
};
