/** A leader's term as far as machines, attempts and commands go, without mailbox, state store and cloud. */
import { QuotaUsage } from "../../src/bookkeeping/quotaUsage.js";
import { type Attempt, Job, Machine } from "../../src/bookkeeping/workload.js";
import { Cordon } from "../../src/coordination/machines/cordon.js";
import { Reconciliation } from "../../src/coordination/machines/reconciliation.js";
import { Estimates } from "../../src/coordination/scheduling/estimates.js";
import { Attempts } from "../../src/coordination/term/attempts.js";
import { CycleRequests } from "../../src/coordination/term/cycleRequests.js";
import { firstAttemptNumber, firstFencingToken } from "../../src/coordination/term/fencingTokens.js";
import { JobRegistry } from "../../src/coordination/term/jobRegistry.js";
import { TermLease } from "../../src/coordination/term/termLease.js";
import type { JobSpec, TaskStatus } from "../../src/protocol/model.js";
import { SimClock } from "./clock.js";

const TERM = 3;
/** The first fencing token of the fixture's term. */
export const FIRST_TOKEN = firstFencingToken(TERM);

const ARRAY_OF_TWO: JobSpec = {
  id: "job-1",
  className: "class",
  team: "team",
  kind: "array",
  priority: 1,
  tasks: 2,
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  image: "image",
  imageGb: 1,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: true,
  estimateS: 100,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
};

/** The parts of a term that decide on attempts, each the real one; commands are only recorded. */
export class MachineTerm {
  readonly clock = new SimClock();
  readonly jobs = new JobRegistry();
  readonly estimates = new Estimates(new Set());
  readonly lease = new TermLease(
    {
      term: TERM,
      termVersion: 1,
      writeUntilMs: Infinity,
      acknowledgeUntilMs: Infinity,
      earlierLeadershipExpiredFromMs: 0,
    },
    this.clock,
  );
  /** Machines that commands were requested for, in order; "+": under a higher fencing token. */
  readonly commandRequests: string[] = [];
  readonly attempts: Attempts;
  readonly cordon: Cordon;
  readonly reconciliation: Reconciliation;

  constructor() {
    const { clock, jobs, estimates, lease } = this;
    const commands = {
      sendCommands: (machine: Machine, raiseToken = false): void => {
        this.commandRequests.push(machine.name + (raiseToken ? "+" : ""));
      },
    };
    this.attempts = new Attempts({
      clock,
      jobs,
      commands,
      usage: new QuotaUsage([]),
      writes: { requestWrite: () => undefined },
      cycles: new CycleRequests(clock, () => undefined),
      firstNumber: firstAttemptNumber(TERM),
    });
    const { attempts } = this;
    this.cordon = new Cordon({ clock, jobs, attempts, estimates });
    const { cordon } = this;
    this.reconciliation = new Reconciliation({ clock, lease, jobs, attempts, commands, estimates, cordon });
  }

  /** A machine that is up and has shown the term's first token, in its first epoch. */
  machine(name = "host-1"): Machine {
    const machine = new Machine(name, "a", FIRST_TOKEN, this.clock.nowMs());
    machine.state = "up";
    machine.address = `${name}:80`;
    machine.epoch = 1;
    machine.seenToken = FIRST_TOKEN;
    return machine;
  }

  /** An array of two tasks, unless changed, that the term knows. */
  job(change: Partial<JobSpec> = {}): Job {
    const job = new Job({ ...ARRAY_OF_TWO, ...change }, new Date(0), 1, null, this.clock.nowMs());
    this.jobs.add(job);
    return job;
  }

  /** An attempt that is durable and was sent right now under the machine's token. */
  attempt(job: Job, machine: Machine, change: Partial<Attempt> = {}): Attempt {
    const attempt: Attempt = {
      job,
      task: 0,
      number: this.attempts.nextNumber(),
      machine,
      isDurable: true,
      isInherited: false,
      sentToken: machine.fencingToken,
      sentEpoch: machine.epoch,
      sentMs: this.clock.nowMs(),
      phase: null,
      plannedMs: this.clock.nowMs(),
      runningMs: null,
      stop: null,
      ...change,
    };
    this.attempts.attach(attempt);
    return attempt;
  }
}

/** What a worker lists for an attempt. */
export function listed(attempt: Attempt, change: Partial<TaskStatus> = {}): TaskStatus {
  const { job, task, number } = attempt;
  return { jobId: job.id, task, attempt: number, phase: "running", cause: null, saved: false, ...change };
}
