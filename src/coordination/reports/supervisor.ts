import type { Command, DeliveryResult, Report, ReportedTask } from "../../protocol/model.js";
import type { ReportServerUpdate } from "../../protocol/peers.js";
import type { Attempt, Job } from "../../bookkeeping/jobs.js";
import type { Machine } from "../../bookkeeping/machines.js";
import { log } from "../../transport/log.js";
import { composeCommandBatch } from "../commands/commandBatch.js";
import type { LeaderOptions } from "../leadership/leader.js";
import { looksFaulty } from "../scheduling/failureDetection.js";
import { absenceProves, firstToken, leaseOverMs, leaseOverEverywhereMs } from "../leadership/leaseExpiry.js";
import type { Estimates } from "../scheduling/estimates.js";
import { SilenceCounts } from "./silenceCounts.js";
import type { LeaderTerm } from "../leadership/leaderTerm.js";

/** A machine that has to show that it hears us is asked this often. */
const PROBE_MS = 1500;
/** Ended tasks are reaped this often at the most, unless there is more to say. */
const REAP_MS = 3000;
/** Starts wait this long for a machine to show that it hears us; then they go elsewhere. */
const UNSENT_START_MS = 2500;
/** A delivery that another controller carries is given up after this. */
const DELIVERY_TIMEOUT_MS = 4500;
/** A faulty machine that still holds work is tried again after this. */
const FAULTY_MS = 90_000;

/** A machine whose type is not known yet is expected to boot within this. */
const UNKNOWN_BOOT_S = 60;
/** A new leader gives back nothing as never booted before it has been told of what runs. */
const TAKEOVER_MS = 5000;
/** When most of a zone is silent, its machines are given back only after this. */
const ABANDON_ZONE_MS = 90_000;
/** A machine that the cloud has announced to take counts as taken so long after that, if it is silent for so long. */
const TAKEN_GRACE_MS = 5000;
const TAKEN_SILENT_MS = 4000;
/** The cloud charges a minute at the least; nothing is gained by giving a machine back sooner. */
const MIN_RENTAL_MS = 58_000;

/** Owns what is known of the machines: hears their reports, draws the conclusions, sends them their commands. */
export class Supervisor {
  /** Deliveries on their way, and since when. */
  private readonly deliveries = new Map<string, number>();
  /** Machines with more to be told once their delivery is back; true: under a higher token. */
  private readonly waiting = new Map<string, boolean>();
  /** Machines whose last delivery got no answer: the next one goes from here. */
  private readonly directNext = new Set<string>();

  /** The other controllers' zones. */
  private readonly zones: Map<string, string>;

  constructor(
    private readonly leaderTerm: LeaderTerm,
    private readonly options: LeaderOptions,
    private readonly estimates: Estimates,
  ) {
    this.zones = new Map(options.platform.peers.map((p) => [p.name, p.zone]));
  }

  /** What a controller has acknowledged under our grant (or the report server beside us by our own lease). */
  receiveUpdate(update: ReportServerUpdate): void {
    const { leaderTerm } = this;
    const now = this.options.clock.nowMs();
    const local = update.from === this.options.platform.node;
    if (!local) leaderTerm.reportServers.received(update, now);
    // Before the records are read we don't know which of them mean anything here; they are told again until then.
    if (leaderTerm.loaded) leaderTerm.learnCancellations(update, now);
    for (const unchanged of update.unchanged) {
      const machine = leaderTerm.machines.get(unchanged.machine);
      if (machine && machine.session === unchanged.session)
        this.acknowledged(machine, unchanged.session, unchanged.tick, update.from, now, now);
      else if (!leaderTerm.removed.has(unchanged.machine))
        leaderTerm.reportServers.requestResync(update.from, now);
    }
    for (const x of update.reports) this.reported(x.report, update.from, now, now - x.ageMs);
    if (local) return;
    const self = {
      node: this.options.platform.node,
      machines: this.options.workerCount(),
      lagMs: Math.round(this.options.lagMs()),
    };
    const { lastServedSentMs, lastRefusedMs } = this.options.state;
    const grant = leaderTerm.reportServers.grant(
      update,
      self,
      now,
      leaderTerm.ackUntilMs(),
      lastServedSentMs > lastRefusedMs,
      leaderTerm.zoneLeaseMs(this.zones.get(update.from) ?? "", now),
      leaderTerm.acknowledgementLimits.quarantined,
    );
    if (!grant) return;
    this.options.sendGrant(update.from, grant);
    // The report server beside us spreads workers as well, from the first moment on.
    this.options.onServers(grant.servers);
  }

  /** False for an older one, or a copy: it renews nothing and proves nothing. */
  private acknowledged(
    machine: Machine,
    session: number,
    tick: number,
    from: string,
    nowMs: number,
    heardMs: number,
  ): boolean {
    if (session < machine.reportSession || (session === machine.reportSession && tick <= machine.reportTick))
      return false;
    machine.reportSession = session;
    machine.reportTick = tick;
    // It was acknowledged before now, and what it answers was sent before that.
    machine.lastAckMs = nowMs;
    machine.lastHeardMs = Math.max(machine.lastHeardMs, heardMs);
    machine.lastReportMs = Math.max(machine.lastReportMs, heardMs);
    machine.server = from;
    // `m.tick` stays: it is that of what we know of its tasks. Raised by a word that only says "as before", it made the
    // report that had been lost on the way look old when it was told again, and its jobs were never done.
    return true;
  }

  private reported(report: Report, from: string, nowMs: number, heardMs: number): void {
    const { leaderTerm } = this;
    if (report.token >= firstToken(leaderTerm.lease.term + 1)) {
      this.options.onDeposed(leaderTerm.lease.term);
      return;
    }
    if (leaderTerm.removed.has(report.machine)) return;
    const machine = leaderTerm.machine(report.machine, report.zone);
    // A machine that we have waited for, and its very first words: nothing older can be on its way.
    // The answer it has just been given carries our token, and its next report shows it: no need to ask at once.
    if (machine.reportTick === 0) machine.probedMs = nowMs + this.options.platform.reportS * 1500 - PROBE_MS;
    const firstWords = machine.state === "booting" && report.session === 1 && report.tick === 1;
    const fresh = this.applyReport(machine, report, nowMs);
    this.acknowledged(machine, report.session, report.tick, from, nowMs, heardMs);
    if (firstWords && machine.bornMs >= leaderTerm.startedMs) machine.challenge = 0;
    if (!leaderTerm.loaded || !fresh) return;
    this.conclude(machine);
  }

  private conclude(machine: Machine): void {
    const raise = this.reconcile(machine);
    if (machine.noticeNew) {
      machine.noticeNew = false;
      this.drainTaken(machine);
    }
    this.sendCommands(machine, raise);
  }

  /** Takes over what a report says of the machine itself; false when a newer one is known. */
  private applyReport(machine: Machine, report: Report, now: number): boolean {
    if (
      report.session < machine.session ||
      (report.session === machine.session && report.tick <= machine.tick)
    )
      return false;
    if (machine.session > 0 && report.session > machine.session) {
      log.info(`${machine.name}: session ${report.session}, its tasks are gone`);
      // We hear it, and its lease ran out all the same: perhaps it doesn't hear us.
      machine.doubt(now);
    }
    // A session's lease runs from its beginning, also when none of its reports was answered yet. Counted from an older
    // answer, a task started in the new session looked gone while it ran (rule `ran_twice`, docs/incidents/overload.md).
    if (report.session > machine.session) machine.lastAckMs = Math.max(machine.lastAckMs, now);
    machine.session = report.session;
    machine.tick = report.tick;
    machine.seenToken = report.token;
    machine.address = report.address;
    machine.zone = report.zone;
    machine.spot = report.spot;
    machine.type = this.estimates.types.find((t) => t.name === report.type) ?? machine.type;
    machine.reported = report.tasks;
    if (
      machine.attempts.size === 0 &&
      (machine.state === "booting" || now - machine.lastHeardMs > this.options.operator.suspectS * 1000)
    ) {
      // Its idle time begins when it can be used (again): neither its boot nor its silence counts.
      machine.idleSinceMs = now;
    }
    if (machine.state === "booting") {
      machine.state = "up";
      log.info(
        `${machine.name}: up after ${((now - machine.bornMs) / 1000).toFixed(1)} s (${report.type} ${machine.zone}${machine.spot ? " spot" : ""})`,
      );
      this.leaderTerm.scheduler.requestCycle();
    }
    if (report.noticeS !== null) {
      if (machine.takenAtMs === null) {
        machine.noticeNew = true;
        this.estimates.spotTaken();
        log.info(`${machine.name}: will be taken in ${report.noticeS.toFixed(1)} s`);
      }
      machine.takenAtMs = now + report.noticeS * 1000;
    }
    return true;
  }

  /** Draws conclusions from the newest report; true when the next answer should carry a higher token. */
  reconcile(machine: Machine): boolean {
    const now = this.options.clock.nowMs();
    const floor = firstToken(this.leaderTerm.lease.term);
    const listed = new Map<Attempt, ReportedTask>();
    for (const task of machine.reported) {
      const attempt = this.leaderTerm.jobs.get(task.jobId)?.attemptOf(task.task);
      if (attempt && attempt.attempt === task.attempt && attempt.machine === machine)
        listed.set(attempt, task);
    }
    let raise = false;
    for (const a of [...machine.attempts]) {
      const t = listed.get(a);
      if (t) {
        if (t.phase === "exited") this.exited(a, t);
        else this.seen(a, t);
        continue;
      }
      const report = { session: machine.session, token: machine.seenToken };
      if (absenceProves(a, report, floor)) {
        if (!a.inherited && a.phase === null && !a.stop && a.sentSession === machine.session) {
          // Certainly not there and never was: the same start may be sent anew.
          a.sentToken = -1;
          this.sendCommands(machine);
        } else this.leaderTerm.attempts.lost(a);
      } else if (a.inherited || (a.sentToken >= 0 && (a.phase !== null || a.stop) && now - a.sentMs > 1000)) {
        // Only a report under a higher token can prove it gone.
        if (a.sentToken >= machine.token) raise = true;
      }
    }
    for (const t of machine.reported) {
      if (t.phase !== "exited" || t.cause !== "done") continue;
      const job = this.leaderTerm.jobs.get(t.jobId);
      // A result counts whichever attempt brought it.
      if (job && !job.isDone(t.task) && !job.attemptOf(t.task)) this.leaderTerm.attempts.done(job, t.task);
    }
    return raise;
  }

  private seen(attempt: Attempt, task: ReportedTask): void {
    const now = this.options.clock.nowMs();
    attempt.inherited = false;
    if (attempt.sentToken < 0) {
      // Started by an earlier leader: guard against that one's copies, too.
      attempt.sentToken = firstToken(this.leaderTerm.lease.term) - 1;
      attempt.sentSession = attempt.machine.session;
    }
    const phase = task.phase === "exited" ? null : task.phase;
    if (phase !== "fetching" && attempt.machine.fetching.has(attempt.job.spec.image))
      attempt.machine.imageReady(attempt.job.spec.image);
    if (phase === "running" && attempt.runningMs === null) {
      attempt.runningMs = now;
      log.debug(
        () =>
          `${attempt.job.id}/${attempt.task} (${attempt.job.spec.className}) runs on ${attempt.machine.name}, ` +
          `${((now - attempt.job.bornMs) / 1000).toFixed(2)} s after its submission, ${((now - attempt.plannedMs) / 1000).toFixed(2)} s after its plan`,
      );
    }
    attempt.phase = phase;
    if (attempt.job.cancelled && !attempt.stop) this.leaderTerm.attempts.stopAttempt(attempt, 0);
  }

  private exited(attempt: Attempt, task: ReportedTask): void {
    const { job, machine } = attempt;
    const now = this.options.clock.nowMs();
    const ranS = attempt.runningMs === null ? 0 : (now - attempt.runningMs) / 1000;
    machineImage(machine, job, task);
    this.leaderTerm.attempts.gone(attempt);
    switch (task.cause) {
      case "done":
        machine.failures.clear();
        if (ranS > 0) this.estimates.learner.ran(job.spec.className, ranS, job.spec.estimateS);
        this.leaderTerm.attempts.done(job, attempt.task);
        return;
      case "error":
        job.errors++;
        job.failedOn.add(machine.name);
        machine.failures.set(job.id, (machine.failures.get(job.id) ?? 0) + 1);
        job.avoid.set(machine.name, now + 60_000);
        // A job with a mistake fails everywhere: try it less and less often.
        job.notBeforeMs = now + Math.min(15_000, 100 * 2 ** Math.min(8, Math.max(0, job.errors - 2)));
        this.judge(machine);
        break;
      case "no_room":
        job.avoid.set(machine.name, now + 2000);
        break;
      case "in_use":
        job.avoid.set(machine.name, now + 3000);
        break;
      case "unknown":
        job.notBeforeMs = now + 1000;
        break;
      default:
        break;
    }
    if (job.spec.kind === "gang") this.leaderTerm.attempts.breakGang(job);
  }

  /**
   * A machine on which jobs fail that run well elsewhere, or several jobs and nothing succeeds, is faulty. It gets no
   * new work; what runs there already goes on, for such a machine fails only what it starts.
   */
  private judge(machine: Machine): void {
    if (machine.cordoned || !looksFaulty(machine, this.leaderTerm.jobs)) return;
    this.cordon(machine, "fails what it starts");
    machine.cordonUntilMs = this.options.clock.nowMs() + FAULTY_MS;
    machine.failures.clear();
    for (const attempt of [...machine.attempts])
      if (attempt.phase === null || attempt.phase === "fetching")
        this.leaderTerm.attempts.stopOrderly(attempt);
  }

  private cordon(machine: Machine, reason: string): void {
    if (machine.cordoned) return;
    machine.cordoned = true;
    machine.cordonReason = reason;
    log.info(`${machine.name}: no new work: ${reason}`);
  }

  /** The cloud is about to take it: whoever can save does so now, whoever can't be through in time goes. */
  private drainTaken(machine: Machine): void {
    this.cordon(machine, "the cloud takes it");
    const now = this.options.clock.nowMs();
    for (const attempt of [...machine.attempts]) {
      const { spec } = attempt.job;
      const leftS = ((machine.takenAtMs ?? now) - now) / 1000;
      const ranS = attempt.runningMs === null ? 0 : (now - attempt.runningMs) / 1000;
      const needS = this.estimates.learner.expectedS(spec.className, spec.estimateS) - ranS;
      if (
        spec.kind === "array" &&
        spec.checkpointS === 0 &&
        attempt.phase === "running" &&
        needS < leftS * 0.6
      )
        continue;
      this.leaderTerm.attempts.stopOrderly(attempt);
    }
  }

  /** Sends what the machine has to be told, if anything, as soon as nothing else is on its way to it. */
  sendCommands(machine: Machine, raise = false): void {
    if (machine.state !== "up" || machine.address === "") return;
    if (this.deliveries.has(machine.name)) {
      this.waiting.set(machine.name, raise || this.waiting.get(machine.name) === true);
      return;
    }
    const { leaderTerm } = this;
    const now = this.options.clock.nowMs();
    if (!leaderTerm.loaded || now >= leaderTerm.lease.ackUntilMs) return;
    const batch = composeCommandBatch(machine, leaderTerm.jobs, now, {
      starts: leaderTerm.mayWrite() && machine.hears,
      raise,
    });
    const probe = !machine.hears && now - machine.probedMs > PROBE_MS;
    if (batch.commands.length === 0 && !raise && !probe) return;
    // What has ended may be reaped in company.
    if (!raise && !probe && now - machine.probedMs < REAP_MS && batch.commands.every((c) => c.op === "reap"))
      return;
    machine.probedMs = now;
    this.send(machine, batch.token, machine.session, batch.commands);
  }

  private send(machine: Machine, token: number, session: number, commands: Command[]): void {
    this.deliveries.set(machine.name, this.options.clock.nowMs());
    const via = this.directNext.delete(machine.name) ? null : machine.server;
    this.options.deliver(this.leaderTerm.lease.term, via, {
      machine: machine.name,
      address: machine.address,
      token,
      session,
      commands,
    });
  }

  deliveryFinished(result: DeliveryResult): void {
    const { leaderTerm } = this;
    const machine = leaderTerm.machines.get(result.machine);
    if (!machine) return;
    const now = this.options.clock.nowMs();
    this.deliveries.delete(machine.name);
    // A delivery of an earlier term of ours may come back late: its token tells.
    if (result.token < firstToken(leaderTerm.lease.term)) return;
    const raise = this.waiting.get(machine.name);
    this.waiting.delete(machine.name);
    if (result.report && leaderTerm.loaded) {
      if (result.report.token >= firstToken(leaderTerm.lease.term + 1)) {
        this.options.onDeposed(leaderTerm.lease.term);
        return;
      }
      const fresh = this.applyReport(machine, result.report, now);
      machine.lastHeardMs = Math.max(machine.lastHeardMs, now);
      if (result.status === 409 && fresh) {
        // Refused whole: the starts in it were not carried out, so they may go again at once.
        for (const attempt of machine.attempts)
          if (attempt.phase === null && attempt.sentToken === result.token) attempt.sentMs = -Infinity;
      }
      if (fresh) this.conclude(machine);
      else this.sendCommands(machine, raise);
    } else if (result.status === null) {
      // Sent, and no answer: it may not hear us. The next one goes another way, under a token that proves it does.
      this.directNext.add(machine.name);
      if (!result.neverSent) machine.doubt(now);
      // What was planned there in the meantime was never sent: it need not wait for any proof.
      if (!machine.hears) this.giveUpUnsent(machine, Infinity);
    }
  }

  superviseAll(now: number): void {
    const { machines } = this.leaderTerm;
    const silence = new SilenceCounts(machines.values(), this.options.operator.suspectS, now);
    this.estimates.spotRan(silence.spotMachinesUp, now);
    for (const machine of [...machines.values()]) {
      if (machine.state === "leaving") continue;
      if (machine.cordoned && now > machine.cordonUntilMs) machine.cordoned = false;
      if (machine.state === "booting") this.superviseBooting(machine, now);
      else this.superviseUp(machine, silence, now);
    }
    this.expireDeliveries(now);
  }

  private superviseBooting(machine: Machine, now: number): void {
    const { operator, platform } = this.options;
    const { startedMs } = this.leaderTerm;
    // Known only from a record, and silent since this term began: its lease proves the tasks gone, also those
    // whose start is still on its way, for that names a session that is over. The machine may yet come back.
    if (machine.attempts.size > 0 && this.leaseIsOver(machine, now)) {
      log.info(`${machine.name}: not heard of in this term, its lease is over`);
      this.loseAttempts(machine);
    }
    // One that has come up for an earlier leader is not late but silent: cut off, say, and back in a while.
    const known = machine.attempts.size > 0 || machine.listedUp;
    const sinceMs = known ? Math.max(machine.bornMs, startedMs) : machine.bornMs;
    const bootS = machine.type?.bootS ?? UNKNOWN_BOOT_S;
    const limitS = known ? Math.max(platform.leaseS * 2 + 10, operator.abandonS) : bootS * 3 + 30;
    if (now - sinceMs > limitS * 1000 && now - startedMs > TAKEOVER_MS)
      this.leaderTerm.provisioner.remove(machine, "never came up");
  }

  private superviseUp(machine: Machine, counts: SilenceCounts, now: number): void {
    const { platform } = this.options;
    const silence = now - machine.lastHeardMs;
    const unacknowledgedMs = now - machine.lastAckMs;
    if (
      machine.attempts.size > 0 &&
      unacknowledgedMs > platform.leaseS * 1000 &&
      this.leaseIsOver(machine, now)
    ) {
      log.info(`${machine.name}: silent for ${(silence / 1000).toFixed(1)} s, its lease is over`);
      this.loseAttempts(machine);
    }
    const lostReason = this.lostReason(machine, counts, silence, now);
    if (lostReason !== null) {
      this.leaderTerm.provisioner.remove(machine, lostReason);
      return;
    }
    this.remind(machine, now, silence);
    const unusedReason = this.unusedReason(machine, silence, now);
    if (unusedReason !== null) this.leaderTerm.provisioner.remove(machine, unusedReason);
  }

  /** Until its lease is over, a silent machine's tasks count as running and may come back, and most machines do. */
  private abandonAfterMs(): number {
    const { operator, platform } = this.options;
    return Math.max(operator.abandonS, platform.leaseS + 2) * 1000;
  }

  /** Why a silent machine is given back; null: it is waited for. */
  private lostReason(machine: Machine, counts: SilenceCounts, silence: number, now: number): string | null {
    const silentFor = `silent for ${(silence / 1000).toFixed(1)} s`;
    // When most of a zone is silent at once, its machines are probably well and only we can't hear them:
    // their leases prove their tasks gone, and giving all of them back would leave nothing to come back to.
    const zoneSilent = counts.mostOfZone(machine);
    // Most silent spot machines have been taken, and the cloud's answer to their deletion proves it well before their
    // lease does. Not so when many fall silent that one controller served: then it is the controller.
    const alone = !zoneSilent && !counts.manyOfServer(machine);
    const spotSilentMs = this.options.operator.spotSilentS * 1000;
    if (machine.spot && alone && machine.attempts.size > 0 && silence > spotSilentMs)
      return `spot machine ${silentFor}`;
    if (silence > (zoneSilent ? ABANDON_ZONE_MS : this.abandonAfterMs())) return silentFor;
    if (machine.takenAtMs !== null && now > machine.takenAtMs + TAKEN_GRACE_MS && silence > TAKEN_SILENT_MS)
      return "taken by the cloud";
    return null;
  }

  /** Why a machine without work is given back; null: it is kept. */
  private unusedReason(machine: Machine, silence: number, now: number): string | null {
    if (machine.attempts.size > 0 || machine.idleSinceMs === null) return null;
    if (machine.cordoned) return machine.cordonReason;
    const { operator } = this.options;
    const deafSinceMs = Math.max(machine.idleSinceMs, machine.doubtedMs, this.leaderTerm.startedMs);
    if (!machine.hears && now - deafSinceMs > this.abandonAfterMs()) return "is heard, but doesn't hear us";
    const idle = now - machine.idleSinceMs > operator.idleKeepS * 1000;
    const reporting = silence < operator.suspectS * 1000;
    const reserved = this.leaderTerm.scheduler.hasReservationOn(machine.name);
    return idle && reporting && !reserved && now - machine.bornMs > MIN_RENTAL_MS ? "idle" : null;
  }

  private loseAttempts(machine: Machine): void {
    for (const attempt of [...machine.attempts]) this.leaderTerm.attempts.lost(attempt);
  }

  private expireDeliveries(now: number): void {
    for (const [name, sinceMs] of this.deliveries) {
      if (now - sinceMs < DELIVERY_TIMEOUT_MS) continue;
      this.deliveryFinished({
        machine: name,
        token: firstToken(this.leaderTerm.lease.term),
        status: null,
        neverSent: false,
        report: null,
      });
    }
  }

  /** Starts that were planned before then and never sent go elsewhere. */
  private giveUpUnsent(machine: Machine, beforeMs: number): void {
    for (const attempt of [...machine.attempts]) {
      if (
        attempt.sentToken < 0 &&
        !attempt.inherited &&
        attempt.plannedMs < beforeMs &&
        machine.attempts.has(attempt)
      )
        this.leaderTerm.attempts.stopOrderly(attempt);
    }
  }

  private leaseIsOver(machine: Machine, now: number): boolean {
    const { leaderTerm } = this;
    // Nobody of an earlier term can have renewed it after `othersSilentFromMs`.
    const lastMs = Math.max(machine.lastAckMs, leaderTerm.lease.othersSilentFromMs);
    if (now < leaseOverMs(lastMs, this.options.platform.leaseS)) return false;
    const facts = leaderTerm.reportServers.facts(machine.zone, leaderTerm.lease.othersSilentFromMs);
    return now >= leaseOverEverywhereMs(lastMs, facts, this.options.platform.leaseS);
  }

  /** Says again what has shown no effect yet. */
  private remind(machine: Machine, now: number, silence: number): void {
    if (!machine.hears || silence > UNSENT_START_MS) this.giveUpUnsent(machine, now - UNSENT_START_MS);
    if (silence > 3000 || this.deliveries.has(machine.name)) return;
    let due = !machine.hears && now - machine.probedMs > PROBE_MS;
    let raise = false;
    for (const attempt of machine.attempts) {
      if (attempt.stop) due ||= now - attempt.stop.lastSentMs > 1500;
      // Became durable when we might start nothing: a machine that has nothing new to say gives no other occasion.
      else if (attempt.durable && attempt.sentToken < 0 && !attempt.inherited)
        due ||= machine.hears && this.leaderTerm.mayWrite();
      else if (
        attempt.phase === null &&
        !attempt.inherited &&
        attempt.sentToken >= 0 &&
        now - attempt.sentMs > 1500
      ) {
        due = true;
        // A session that the start doesn't name, or a token above it, tells what became of it.
        raise ||= attempt.sentToken >= machine.token && now - attempt.sentMs > 4000;
      }
    }
    due ||= now - machine.probedMs > REAP_MS && machine.reported.some((t) => t.phase === "exited");
    if (due) this.sendCommands(machine, raise);
  }
}

/** A task that ran had its image. */
function machineImage(machine: Machine, job: Job, task: ReportedTask): void {
  if (task.cause === "done" || task.cause === "error") machine.imageReady(job.spec.image);
}
