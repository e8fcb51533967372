/**
 * A test fixture with the parts of a leader's term that manage machines, attempts and commands. It has no mailbox,
 * state store or cloud.
 */
import { QuotaUsage } from "../../src/bookkeeping/quotaUsage.js";
import { unsentAttempt } from "../../src/bookkeeping/unsentAttempt.js";
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
import { ARRAY_OF_TWO } from "./jobSpec.js";

const TERM = 3;
/** The first fencing token of the fixture's term. */
export const FIRST_TOKEN = firstFencingToken(TERM);

/** The real components of a term that decide on attempts; requested commands are recorded instead of being sent. */
export class LeaderTermFixture {
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
  /** Names of the machines for which commands were requested, in order; the suffix "+" marks a raised fencing token. */
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

  /** Creates a machine that is up, is in its first epoch and has reported the term's first fencing token. */
  createMachine(name = "host-1"): Machine {
    const machine = new Machine(name, "a", FIRST_TOKEN, this.clock.nowMs());
    machine.state = "up";
    machine.isNameConfirmed = true;
    machine.address = `${name}:80`;
    machine.epoch = 1;
    machine.seenToken = FIRST_TOKEN;
    return machine;
  }

  /** Registers a job with the term; it is an array of two tasks unless `change` overrides that. */
  addJob(change: Partial<JobSpec> = {}): Job {
    const job = new Job({ ...ARRAY_OF_TWO, ...change }, new Date(0), 1, null, this.clock.nowMs());
    this.jobs.add(job);
    return job;
  }

  /** Attaches an attempt that is durable and was sent just now under the machine's fencing token. */
  addAttempt(job: Job, machine: Machine, change: Partial<Attempt> = {}): Attempt {
    const nowMs = this.clock.nowMs();
    const number = this.attempts.nextNumber();
    const attempt: Attempt = {
      ...unsentAttempt({ job, task: 0, number, machine }, nowMs),
      isDurable: true,
      sentToken: machine.fencingToken,
      sentEpoch: machine.epoch,
      sentMs: nowMs,
      ...change,
    };
    this.attempts.attach(attempt);
    return attempt;
  }
}

/** Returns the task status that a worker reports for an attempt; by default, the task is running. */
export function taskStatusOf(attempt: Attempt, change: Partial<TaskStatus> = {}): TaskStatus {
  const { job, task, number } = attempt;
  return {
    jobId: job.id,
    task,
    attempt: number,
    phase: "running",
    cause: null,
    checkpointSaved: false,
    ...change,
  };
}
