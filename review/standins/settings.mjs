/** Settings as the platform writes them: those of `mrws-collect-sched`, and of `mrws-collect-sched-fleet`. */

/** The limits of the state service. */
export const STATE = { rps: 120.0, write_rps: 25.0, value_kb: 8.0, txn_ops: 20 };
/** The settings of the workers. */
export const WORKERS = { report_s: 2.0, lease_s: 14.0, gang_wait_s: 30.0, gang_peer_s: 6.0, cancel_s: 39.0 };
/** The teams, each with its guarantee and limit. */
export const TEAMS = [
  { name: "calendars", cpus: 48.0, cpus_max: 136.0, gpus: 2.0, gpus_max: 6.0 },
  { name: "routing", cpus: 56.0, cpus_max: 224.0, gpus: 2.0, gpus_max: 8.0 },
  { name: "fleet-data", cpus: 112.0, cpus_max: 264.0, gpus: 8.0, gpus_max: 16.0 },
];

/** The settings of `mrws-collect-sched-fleet` that differ. */
export const FLEET_SETTINGS = {
  state: { ...STATE, rps: 180.0, write_rps: 40.0 },
  workers: { report_s: 2.5, lease_s: 15.25, gang_wait_s: 30.0, gang_peer_s: 6.0, cancel_s: 40.25 },
  teams: [
    { name: "calendars", cpus: 900.0, cpus_max: 3000.0, gpus: 40.0, gpus_max: 150.0 },
    { name: "routing", cpus: 1200.0, cpus_max: 5000.0, gpus: 60.0, gpus_max: 250.0 },
    { name: "fleet-data", cpus: 2500.0, cpus_max: 6000.0, gpus: 90.0, gpus_max: 300.0 },
  ],
};

function table(fields) {
  return Object.entries(fields).map(
    ([name, value]) => `${name} = ${typeof value === "string" ? `"${value}"` : value}`,
  );
}

/** The tables under [cluster]. */
export function clusterTables({ size, zones, teams = TEAMS, state = STATE, workers = WORKERS }) {
  return [
    "[cluster]",
    `size = ${size}`,
    `zones = [${zones.map((zone) => `"${zone}"`).join(", ")}]`,
    "clock_error_ms = 100.0",
    ...teams.flatMap((team) => ["[[cluster.teams]]", ...table(team)]),
    "[cluster.workers]",
    ...table(workers),
    "[cluster.state]",
    ...table(state),
    "[cluster.cloud]",
    "rps = 5.0",
    "list_lag_s = 8.0",
    "[cluster.machine_limits]",
    "cpu = 0.17",
    "mem_mb = 178.0",
    "max_connections = 1200",
    "",
  ].join("\n");
}
