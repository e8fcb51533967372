/**
 * A simulated region: controllers, workers, cloud, state store and users on one simulated clock and network, with every
 * rule of the protocol checked. A run is reproducible from its seed, provided that all components draw random numbers
 * in the same order.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { PlatformSettings } from "../../src/settings/platform.js";
import { SimClock } from "./clock.js";
import { SimCloud } from "./cloud.js";
import { SimControllers } from "./controllers.js";
import { jobOf, SimFleet } from "./fleet.js";
import type { SimJob } from "./job.js";
import { SimNet } from "./net.js";
import {
  CLOUD_ADDRESS,
  controllerAddress,
  DEFAULT_ZONES,
  HEARTBEAT_S,
  LEASE_S,
  LIST_LAG_S,
  MACHINE_TYPES,
  STATE_STORE_ADDRESS,
  TEAM_LIMITS,
  type RegionOptions,
  type TeamLimits,
} from "./region.js";
import { RuleChecker } from "./rules/ruleChecker.js";
import type { Violation } from "./rules/violations.js";
import { SimStateStore } from "./stateStore.js";
import { SimUsers } from "./users.js";
import type { SimTask } from "./taskRunner.js";
import type { SimWorker } from "./worker.js";

/** The parameters of a world that tests can vary; `region.ts` defines all others. */
export interface WorldOptions {
  /** Number of controllers; the default is 3. */
  controllerCount?: number;
  /** Zone of each controller; the default is "a" for all. */
  zones?: string[];
  /** Names of the cloud's zones; the default is `DEFAULT_ZONES`. */
  cloudZones?: string[];
  /** Maximum number of machines that the cloud provides at a time; the default is 12. */
  capacity?: number;
  /** Resource limits of each team; the default is `TEAM_LIMITS`. */
  limits?: TeamLimits;
  /** Service level objectives in the controllers' settings; the default is none. */
  objectives?: PlatformSettings["objectives"];
}

/** Time that the region may take to recover after a fault ends. */
const RECOVERY_ALLOWANCE_MS = 10_000;
/** Number of leaders that `moveLeader` crashes at most. */
const MAX_LEADER_CRASHES = 40;

/** A running region. Simulated time advances only in `run` and `runUntilFaultFree`. */
export class World {
  readonly clock = new SimClock();
  /** The world's only source of random numbers, uniform in [0, 1). */
  readonly random: () => number;
  readonly net: SimNet;
  readonly stateStore: SimStateStore;
  readonly cloud: SimCloud;
  readonly fleet: SimFleet;
  readonly controllers: SimControllers;
  readonly users: SimUsers;
  /** Number of task starts so far. */
  startedTasks = 0;
  /** Called on each task start, before the rules are checked. */
  onTaskStart: (worker: SimWorker, task: SimTask) => void = () => undefined;
  /** Called on each task end, before any controller learns of it. */
  onTaskEnd: (job: SimJob, task: SimTask) => void = () => undefined;
  /** Time from which no fault affects the world; rules that tolerate faults apply from then on. */
  faultFreeFromMs = 0;
  private readonly jobs = new Map<string, SimJob>();
  private readonly rules: RuleChecker;

  constructor(seed: number, options: WorldOptions = {}) {
    const { clock, jobs } = this;
    const { controllerCount = 3, zones = [], capacity = 12, limits = TEAM_LIMITS, objectives = [] } = options;
    const cloudZones = options.cloudZones ?? [...DEFAULT_ZONES];
    const names = Array.from({ length: controllerCount }, (_, index) => `n${index}`);
    const generator = xoroshiro128plus(seed);
    this.random = () => (generator.next() >>> 0) / 2 ** 32;
    this.net = new SimNet(clock, this.random);
    this.stateStore = new SimStateStore(clock, this.net, this.random, STATE_STORE_ADDRESS);
    this.fleet = this.createFleet(names);
    this.cloud = this.createCloud(capacity, cloudZones);
    this.rules = new RuleChecker({
      clock,
      jobs,
      fleet: this.fleet,
      cloud: this.cloud,
      limits,
      faultFreeFromMs: () => this.faultFreeFromMs,
    });
    this.controllers = this.createControllers({ controllers: names, limits, zones, cloudZones, objectives });
    this.users = this.createUsers();
    this.controllers.startAll();
    this.rules.watchIdleCapacity();
  }

  /** The rule violations so far, in order of time. */
  get violations(): Violation[] {
    return this.rules.violations;
  }

  /** Name of the controller that holds the leadership, or null if none does. */
  get leader(): string | null {
    return this.controllers.leader;
  }

  /**
   * Accounts for a fault that lasts `faultDurationMs` from now: `faultFreeFromMs` becomes at least the end of the
   * recovery allowance after it.
   */
  extendFaultPeriod(faultDurationMs: number): void {
    this.faultFreeFromMs = Math.max(
      this.faultFreeFromMs,
      this.clock.nowMs() + faultDurationMs + RECOVERY_ALLOWANCE_MS,
    );
  }

  /** Advances simulated time and runs every timer that becomes due. */
  async run(seconds: number): Promise<void> {
    await this.clock.advance(seconds * 1000);
  }

  /** Advances to `faultFreeFromMs`; does nothing if that time has passed. */
  async runUntilFaultFree(): Promise<void> {
    await this.run(Math.max(0, this.faultFreeFromMs - this.clock.nowMs()) / 1000);
  }

  /** Crashes one leader after another until a controller leads that `isWanted` accepts; gives up after `MAX_LEADER_CRASHES`. */
  async moveLeader(isWanted: (name: string) => boolean): Promise<void> {
    for (let tries = 0; !isWanted(this.leader ?? "") && tries < MAX_LEADER_CRASHES; tries++) {
      this.controllers.crash(this.controllers.leaderOrFirst, 2500);
      await this.run(3);
    }
  }

  private createFleet(controllerNames: string[]): SimFleet {
    const { clock, net, random, jobs } = this;
    const controllers = controllerNames.map((name) => ({ name, address: controllerAddress(name) }));
    return new SimFleet({
      jobs,
      worker: { clock, net, random, controllers, heartbeatS: HEARTBEAT_S, leaseS: LEASE_S },
      onTaskStart: (worker, task) => {
        this.startedTasks++;
        this.onTaskStart(worker, task);
        this.rules.onTaskStart(worker, task);
      },
      onTaskEnd: (task) => {
        const job = jobOf(jobs, task);
        if (!job) return;
        if (task.cause === "done") job.doneTasks.add(task.name);
        this.onTaskEnd(job, task);
      },
    });
  }

  private createCloud(capacity: number, zones: string[]): SimCloud {
    const { clock, net, random, fleet } = this;
    const cloud = new SimCloud({
      clock,
      net,
      random,
      address: CLOUD_ADDRESS,
      types: MACHINE_TYPES.map((type) => ({ ...type, zones })),
      listLagMs: LIST_LAG_S * 1000,
      onBoot: (machine) => fleet.startWorker(machine),
      onTerminated: (machine) => fleet.killWorker(machine),
    });
    cloud.capacity = capacity;
    return cloud;
  }

  private createControllers(region: RegionOptions): SimControllers {
    const { clock, net, random, stateStore } = this;
    return new SimControllers({ clock, net, random, stateStore, region });
  }

  private createUsers(): SimUsers {
    const { clock, net, random, controllers, jobs, rules } = this;
    return new SimUsers({
      clock,
      net,
      random,
      controllers,
      jobs,
      jobStatusRules: rules.jobStatus,
      report: (rule, detail) => rules.report(rule, detail),
    });
  }
}
