/**
 * A whole region on a simulated clock and network: controllers, workers, cloud, state store and users, with every rule
 * of the protocol checked. The same seed gives the same run, as long as all parts draw their random numbers in the same
 * order.
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

/** What tests may vary; everything else is the region of `region.ts`. */
export interface WorldOptions {
  /** Number of controllers; 3 unless given. */
  controllerCount?: number;
  /** Each controller's zone; all in "a" unless given. */
  zones?: string[];
  /** Machines that the cloud has; 12 unless given. */
  capacity?: number;
  limits?: TeamLimits;
  objectives?: PlatformSettings["objectives"];
}

/** After a fault's end, this much is allowed until everything is as before. */
const SETTLE_MS = 10_000;

/** A running region; time passes only in `run` and `runUntilFaultFree`. */
export class World {
  readonly clock = new SimClock();
  /** The one source of random numbers, uniform in [0, 1). */
  readonly random: () => number;
  readonly net: SimNet;
  readonly stateStore: SimStateStore;
  readonly cloud: SimCloud;
  readonly fleet: SimFleet;
  readonly controllers: SimControllers;
  readonly users: SimUsers;
  /** How many tasks have started so far. */
  startedTasks = 0;
  /** Called at each start of a task, before the rules are checked. */
  onTaskStart: (worker: SimWorker, task: SimTask) => void = () => undefined;
  /** Called at each end of a task, before any controller knows of it. */
  onTaskEnd: (job: SimJob, task: SimTask) => void = () => undefined;
  /** From then on no fault disturbs the world any more. */
  faultFreeFromMs = 0;
  private readonly jobs = new Map<string, SimJob>();
  private readonly rules: RuleChecker;

  constructor(seed: number, options: WorldOptions = {}) {
    const { clock, jobs } = this;
    const { controllerCount = 3, zones = [], capacity = 12, limits = TEAM_LIMITS, objectives = [] } = options;
    const names = Array.from({ length: controllerCount }, (_, index) => `n${index}`);
    const generator = xoroshiro128plus(seed);
    this.random = () => (generator.next() >>> 0) / 2 ** 32;
    this.net = new SimNet(clock, this.random);
    this.stateStore = new SimStateStore(clock, this.net, this.random, STATE_STORE_ADDRESS);
    this.fleet = this.createFleet(names);
    this.cloud = this.createCloud(capacity);
    this.rules = new RuleChecker({
      clock,
      jobs,
      fleet: this.fleet,
      cloud: this.cloud,
      limits,
      faultFreeFromMs: () => this.faultFreeFromMs,
    });
    this.controllers = this.createControllers({ controllers: names, limits, zones, objectives });
    this.users = this.createUsers();
    this.controllers.startAll();
    this.rules.watchIdleCapacity();
  }

  /** The rules that were broken so far. */
  get violations(): Violation[] {
    return this.rules.violations;
  }

  /** The present leader; null: nobody holds the leadership. */
  get leader(): string | null {
    return this.controllers.leader;
  }

  /** A fault may last that long, beyond others: `faultFreeFromMs` comes no sooner than a while after it. */
  expectFaultsFor(forMs: number): void {
    this.faultFreeFromMs = Math.max(this.faultFreeFromMs, this.clock.nowMs() + forMs + SETTLE_MS);
  }

  /** Lets simulated time pass, with all that is due in it. */
  async run(seconds: number): Promise<void> {
    await this.clock.advance(seconds * 1000);
  }

  /** Runs until the last fault is over, if that is still to come. */
  async runUntilFaultFree(): Promise<void> {
    await this.run(Math.max(0, this.faultFreeFromMs - this.clock.nowMs()) / 1000);
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

  private createCloud(capacity: number): SimCloud {
    const { clock, net, random, fleet } = this;
    const cloud = new SimCloud({
      clock,
      net,
      random,
      address: CLOUD_ADDRESS,
      types: MACHINE_TYPES,
      listLagMs: LIST_LAG_S * 1000,
      onBoot: (machine) => fleet.startWorker(machine),
      onGone: (machine) => fleet.endWorker(machine),
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
