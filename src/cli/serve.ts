/** `lichenturn serve`: runs a controller until the process is killed. */
import { systemClock } from "../transport/clock.js";
import { configureLog, describeException, log } from "../transport/log.js";
import { rejectOperands, type Arguments } from "./arguments.js";
import { loadSettings } from "./settings.js";

/** Starts the controller; resolves once it accepts connections, while the process keeps running. */
export async function serve(operands: string[], options: Arguments): Promise<void> {
  rejectOperands(operands);
  const { platform, operator } = await loadSettings("serve", options);
  configureLog(process.env.LOG_LEVEL, platform.node);
  process.on("uncaughtException", (error) => log.error(`uncaught exception: ${describeException(error)}`));
  process.on("unhandledRejection", (error) => log.error(`unhandled promise rejection: ${String(error)}`));
  // The controller is loaded here because neither the other commands nor a run with invalid settings need it.
  const { serve: serveController } = await import("../controller/process.js");
  await serveController(platform, operator, systemClock);
}
