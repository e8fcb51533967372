/** `lichenturn serve`: runs a controller until the process is killed. */
import { systemClock } from "../transport/clock.js";
import { configureLog, describeException, log } from "../transport/log.js";
import { refuseOperands, type Arguments } from "./arguments.js";
import { loadSettings } from "./settings.js";

/** Resolves once the controller serves; the process goes on from there. */
export async function serve(operands: string[], options: Arguments): Promise<void> {
  refuseOperands(operands);
  const { platform, operator } = await loadSettings("serve", options);
  configureLog(process.env.LOG_LEVEL, platform.node);
  process.on("uncaughtException", (error) => log.error(`uncaught: ${describeException(error)}`));
  process.on("unhandledRejection", (error) => log.error(`unhandled: ${String(error)}`));
  // Loaded only here: the other commands, and wrong settings, need none of it.
  const { serve: serveController } = await import("../controller/process.js");
  await serveController(platform, operator, systemClock);
}
