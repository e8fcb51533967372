/** Runs one case: builds the stand-ins and the deployment, plays the case, and always ends what it started. */
import process from "node:process";
import { setTimeout } from "node:timers";
import { Deployment, Recorder } from "./deployment.mjs";
import { Fleet } from "./fleet.mjs";
import { clusterTables, STATE, WORKERS } from "./settings.mjs";
import { StateService } from "./stateService.mjs";
import { Users } from "./users.mjs";

/** The exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** True unless the case is run with TROUBLE=0. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

const MAX_RUN_MS = 117_000;
const READY_WITHIN_MS = 15_000;

/**
 * Starts the stand-ins and three controllers, calls `play(world)` once all controllers are ready, and exits with its
 * result. `fleet` holds the options of the cloud and the workers; `zones` are those of the controllers; `settings` overrides tables; for `hasLinkProxies` see Deployment.
 */
export async function runCase({
  folder,
  zones,
  clusterZones,
  fleet: fleetOptions,
  hasLinkProxies = false,
  settings = {},
  play,
}) {
  const recorder = new Recorder(folder);
  const record = (kind, detail) => recorder.sampled(kind, detail);
  const state = new StateService({ limits: settings.state ?? STATE, record });
  await state.start();
  const fleet = new Fleet({
    listLagMs: 8000,
    workers: settings.workers ?? WORKERS,
    controllers: [],
    record,
    recordRun: (text) => recorder.line(text),
    ...fleetOptions,
  });
  await fleet.start();
  const cluster = clusterTables({ size: zones.length, zones: clusterZones, ...settings });
  const endpoints = { cloud: fleet.address, state: state.address };
  const deployment = new Deployment({ zones, cluster, endpoints, recorder, hasLinkProxies });
  const finish = async (code) => {
    recorder.line(`exit code ${code}`);
    deployment.recordLogs(/ error |became leader|resigned/);
    await deployment.stop();
    fleet.stop();
    state.stop();
    process.exit(code);
  };
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) process.on(signal, () => void finish(COULD_NOT_RUN));
  process.on("uncaughtException", (error) => {
    recorder.line(`the case failed: ${error.stack}`);
    void finish(COULD_NOT_RUN);
  });
  setTimeout(() => void finish(COULD_NOT_RUN), MAX_RUN_MS).unref();
  try {
    await deployment.prepare();
    fleet.options.controllers.push(...deployment.controllers);
    deployment.startAll();
    const isReady = await deployment.waitUntilReady(READY_WITHIN_MS);
    const users = new Users({ controllers: deployment.controllers, recorder });
    await finish(isReady ? await play({ recorder, state, fleet, deployment, users }) : COULD_NOT_RUN);
  } catch (error) {
    recorder.line(`the case failed: ${error.stack}`);
    void finish(COULD_NOT_RUN);
  }
}
