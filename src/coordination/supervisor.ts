import type { Command, ErrandResult, Report, ReportedTask } from "../protocol/model.js";
import type { Serving } from "../protocol/peers.js";
import type { Attempt, Job } from "../bookkeeping/jobs.js";
import type { Machine } from "../bookkeeping/machines.js";
import { log } from "../transport/log.js";
import { writeLetter } from "./commands.js";
import type { LeaderOptions } from "./leader.js";
import { looksFaulty } from "./faults.js";
import { absenceProves, firstToken, leaseOverMs, silentFromMs } from "./fences.js";
import type { Estimates } from "./estimates.js";
import type { LeaderTerm } from "./leaderTerm.js";

/** A machine that has to show that it hears us is asked this often. */
const PROBE_MS = 1500;
/** Ended tasks are reaped this often at the most, unless there is more to say. */
const REAP_MS = 3000;
/** Starts wait this long for a machine to show that it hears us; then they go elsewhere. */
const HOLD_BACK_MS = 2500;
/** An errand that another controller carries is given up after this. */
const ERRAND_MS = 4500;
/** A faulty machine that still holds work is tried again after this. */
const FAULTY_MS = 90_000;

/** Owns what is known of the machines: hears their reports, draws the conclusions, sends them their commands. */
export class Supervisor {
  /** Errands on their way, and since when. */
  private readonly errands = new Map<string, number>();
  /** Machines with more to be told once their errand is back; true: under a higher token. */
  private readonly waiting = new Map<string, boolean>();
  /** Machines whose last errand got no answer: the next one goes from here. */
  private readonly detour = new Set<string>();

  /** The other controllers' zones. */
  private readonly zones: Map<string, string>;

  constructor(
    private readonly r: LeaderTerm,
    private readonly o: LeaderOptions,
    private readonly estimates: Estimates,
  ) {
    this.zones = new Map(o.platform.peers.map((p) => [p.name, p.zone]));
  }

  /** What a controller has acknowledged under our grant (or the report server beside us by our own mandate). */
  served(s: Serving): void {
    const { r } = this;
    const now = this.o.clock.nowMs();
    const local = s.from === this.o.platform.node;
    if (!local) r.servers.heard(s, now);
    // Before the records are read we don't know which of them mean anything here; they are told again until then.
    if (r.loaded) r.learnCancels(s, now);
    for (const h of s.heard) {
      const m = r.machines.get(h.machine);
      if (m && m.session === h.session) this.acknowledged(m, h.session, h.tick, s.from, now, now);
      else if (!r.removed.has(h.machine)) r.servers.wantAll(s.from, now);
    }
    for (const x of s.reports) this.reported(x.report, s.from, now, now - x.ageMs);
    if (local) return;
    const self = { node: this.o.platform.node, machines: this.o.served(), lagMs: Math.round(this.o.lagMs()) };
    const { lastServedSentMs, lastRefusedMs } = this.o.state;
    const grant = r.servers.grant(
      s,
      self,
      now,
      r.ackUntilMs(),
      lastServedSentMs > lastRefusedMs,
      r.homeFor(this.zones.get(s.from) ?? "", now),
      r.ackBound.barred,
    );
    if (!grant) return;
    this.o.sendGrant(s.from, grant);
    // The report server beside us spreads workers as well, from the first moment on.
    this.o.onHomes(grant.homes);
  }

  /** False for an older one, or a copy: it renews nothing and proves nothing. */
  private acknowledged(
    m: Machine,
    session: number,
    tick: number,
    from: string,
    nowMs: number,
    heardMs: number,
  ): boolean {
    if (session < m.reportSession || (session === m.reportSession && tick <= m.reportTick)) return false;
    m.reportSession = session;
    m.reportTick = tick;
    // It was acknowledged before now, and what it answers was sent before that.
    m.lastAckMs = nowMs;
    m.lastHeardMs = Math.max(m.lastHeardMs, heardMs);
    m.lastReportMs = Math.max(m.lastReportMs, heardMs);
    m.server = from;
    // `m.tick` stays: it is that of what we know of its tasks. Raised by a word that only says "as before", it made the
    // report that had been lost on the way look old when it was told again, and its jobs were never done.
    return true;
  }

  private reported(report: Report, from: string, nowMs: number, heardMs: number): void {
    const { r } = this;
    if (report.token >= firstToken(r.mandate.term + 1)) {
      this.o.onDeposed(r.mandate.term);
      return;
    }
    if (r.removed.has(report.machine)) return;
    const m = r.machine(report.machine, report.zone);
    // A machine that we have waited for, and its very first words: nothing older can be on its way.
    // The answer it has just been given carries our token, and its next report shows it: no need to ask at once.
    if (m.reportTick === 0) m.probedMs = nowMs + this.o.platform.reportS * 1500 - PROBE_MS;
    const firstWords = m.state === "booting" && report.session === 1 && report.tick === 1;
    const fresh = this.absorb(m, report, nowMs);
    this.acknowledged(m, report.session, report.tick, from, nowMs, heardMs);
    if (firstWords && m.bornMs >= r.startedMs) m.challenge = 0;
    if (!r.loaded || !fresh) return;
    this.conclude(m);
  }

  private conclude(m: Machine): void {
    const raise = this.digest(m);
    if (m.noticeNew) {
      m.noticeNew = false;
      this.drainTaken(m);
    }
    this.sendSoon(m, raise);
  }

  /** Takes over what a report says of the machine itself; false when a newer one is known. */
  private absorb(m: Machine, report: Report, now: number): boolean {
    if (report.session < m.session || (report.session === m.session && report.tick <= m.tick)) return false;
    if (m.session > 0 && report.session > m.session) {
      log.info(`${m.name}: session ${report.session}, its tasks are gone`);
      // We hear it, and its lease ran out all the same: perhaps it doesn't hear us.
      m.doubt(now);
    }
    // A session's lease runs from its beginning, also when none of its reports was answered yet. Counted from an older
    // answer, a task started in the new session looked gone while it ran (rule `ran_twice`, docs/incidents/overload.md).
    if (report.session > m.session) m.lastAckMs = Math.max(m.lastAckMs, now);
    m.session = report.session;
    m.tick = report.tick;
    m.seenToken = report.token;
    m.address = report.address;
    m.zone = report.zone;
    m.spot = report.spot;
    m.type = this.estimates.types.find((t) => t.name === report.type) ?? m.type;
    m.reported = report.tasks;
    if (
      m.attempts.size === 0 &&
      (m.state === "booting" || now - m.lastHeardMs > this.o.operator.suspectS * 1000)
    ) {
      // Its idle time begins when it can be used (again): neither its boot nor its silence counts.
      m.idleSinceMs = now;
    }
    if (m.state === "booting") {
      m.state = "up";
      log.info(
        `${m.name}: up after ${((now - m.bornMs) / 1000).toFixed(1)} s (${report.type} ${m.zone}${m.spot ? " spot" : ""})`,
      );
      this.r.placer.requestPass();
    }
    if (report.noticeS !== null) {
      if (m.takenAtMs === null) {
        m.noticeNew = true;
        this.estimates.spotTaken();
        log.info(`${m.name}: will be taken in ${report.noticeS.toFixed(1)} s`);
      }
      m.takenAtMs = now + report.noticeS * 1000;
    }
    return true;
  }

  /** Draws conclusions from the newest report; true when the next answer should carry a higher token. */
  digest(m: Machine): boolean {
    const now = this.o.clock.nowMs();
    const floor = firstToken(this.r.mandate.term);
    const listed = new Map<Attempt, ReportedTask>();
    for (const t of m.reported) {
      const a = this.r.jobs.get(t.jobId)?.attemptOf(t.task);
      if (a && a.attempt === t.attempt && a.machine === m) listed.set(a, t);
    }
    let raise = false;
    for (const a of [...m.attempts]) {
      const t = listed.get(a);
      if (t) {
        if (t.phase === "exited") this.exited(a, t);
        else this.seen(a, t);
        continue;
      }
      const report = { session: m.session, token: m.seenToken };
      if (absenceProves(a, report, floor)) {
        if (!a.inherited && a.phase === null && !a.stop && a.sentSession === m.session) {
          // Certainly not there and never was: the same start may be sent anew.
          a.sentToken = -1;
          this.sendSoon(m);
        } else this.r.attempts.lost(a);
      } else if (a.inherited || (a.sentToken >= 0 && (a.phase !== null || a.stop) && now - a.sentMs > 1000)) {
        // Only a report under a higher token can prove it gone.
        if (a.sentToken >= m.token) raise = true;
      }
    }
    for (const t of m.reported) {
      if (t.phase !== "exited" || t.cause !== "done") continue;
      const job = this.r.jobs.get(t.jobId);
      // A result counts whichever attempt brought it.
      if (job && !job.isDone(t.task) && !job.attemptOf(t.task)) this.r.attempts.done(job, t.task);
    }
    return raise;
  }

  private seen(a: Attempt, t: ReportedTask): void {
    const now = this.o.clock.nowMs();
    a.inherited = false;
    if (a.sentToken < 0) {
      // Started by an earlier leader: fence against that one's copies, too.
      a.sentToken = firstToken(this.r.mandate.term) - 1;
      a.sentSession = a.machine.session;
    }
    const phase = t.phase === "exited" ? null : t.phase;
    if (phase !== "fetching" && a.machine.fetching.has(a.job.spec.image))
      a.machine.imageReady(a.job.spec.image);
    if (phase === "running" && a.runningMs === null) {
      a.runningMs = now;
      log.debug(
        () =>
          `${a.job.id}/${a.task} (${a.job.spec.className}) runs on ${a.machine.name}, ` +
          `${((now - a.job.bornMs) / 1000).toFixed(2)} s after its submission, ${((now - a.plannedMs) / 1000).toFixed(2)} s after its plan`,
      );
    }
    a.phase = phase;
    if (a.job.cancelled && !a.stop) this.r.attempts.stopAttempt(a, 0);
  }

  private exited(a: Attempt, t: ReportedTask): void {
    const { job, machine: m } = a;
    const now = this.o.clock.nowMs();
    const ranS = a.runningMs === null ? 0 : (now - a.runningMs) / 1000;
    machineImage(m, job, t);
    this.r.attempts.gone(a);
    switch (t.cause) {
      case "done":
        m.failures.clear();
        if (ranS > 0) this.estimates.learner.ran(job.spec.className, ranS, job.spec.estimateS);
        this.r.attempts.done(job, a.task);
        return;
      case "error":
        job.errors++;
        job.failedOn.add(m.name);
        m.failures.set(job.id, (m.failures.get(job.id) ?? 0) + 1);
        job.avoid.set(m.name, now + 60_000);
        // A job with a mistake fails everywhere: try it less and less often.
        job.notBeforeMs = now + Math.min(15_000, 100 * 2 ** Math.min(8, Math.max(0, job.errors - 2)));
        this.judge(m);
        break;
      case "no_room":
        job.avoid.set(m.name, now + 2000);
        break;
      case "in_use":
        job.avoid.set(m.name, now + 3000);
        break;
      case "unknown":
        job.notBeforeMs = now + 1000;
        break;
      default:
        break;
    }
    if (job.spec.kind === "gang") this.r.attempts.breakGang(job);
  }

  /**
   * A machine on which jobs fail that run well elsewhere, or several jobs and nothing succeeds, is faulty. It gets no
   * new work; what runs there already goes on, for such a machine fails only what it starts.
   */
  private judge(m: Machine): void {
    if (m.cordoned || !looksFaulty(m, this.r.jobs)) return;
    this.cordon(m, "fails what it starts");
    m.cordonUntilMs = this.o.clock.nowMs() + FAULTY_MS;
    m.failures.clear();
    for (const a of [...m.attempts])
      if (a.phase === null || a.phase === "fetching") this.r.attempts.stopOrderly(a);
  }

  private cordon(m: Machine, reason: string): void {
    if (m.cordoned) return;
    m.cordoned = true;
    m.cordonReason = reason;
    log.info(`${m.name}: no new work: ${reason}`);
  }

  /** The cloud is about to take it: whoever can save does so now, whoever can't be through in time goes. */
  private drainTaken(m: Machine): void {
    this.cordon(m, "the cloud takes it");
    const now = this.o.clock.nowMs();
    for (const a of [...m.attempts]) {
      const { spec } = a.job;
      const leftS = ((m.takenAtMs ?? now) - now) / 1000;
      const ranS = a.runningMs === null ? 0 : (now - a.runningMs) / 1000;
      const needS = this.estimates.learner.expectedS(spec.className, spec.estimateS) - ranS;
      if (spec.kind === "array" && spec.checkpointS === 0 && a.phase === "running" && needS < leftS * 0.6)
        continue;
      this.r.attempts.stopOrderly(a);
    }
  }

  /** Sends what the machine has to be told, if anything, as soon as nothing else is on its way to it. */
  sendSoon(m: Machine, raise = false): void {
    if (m.state !== "up" || m.address === "") return;
    if (this.errands.has(m.name)) {
      this.waiting.set(m.name, raise || this.waiting.get(m.name) === true);
      return;
    }
    const { r } = this;
    const now = this.o.clock.nowMs();
    if (!r.loaded || now >= r.mandate.ackUntilMs) return;
    const letter = writeLetter(m, r.jobs, now, { starts: r.full() && m.hears, raise });
    const probe = !m.hears && now - m.probedMs > PROBE_MS;
    if (letter.commands.length === 0 && !raise && !probe) return;
    // What has ended may be reaped in company.
    if (!raise && !probe && now - m.probedMs < REAP_MS && letter.commands.every((c) => c.op === "reap"))
      return;
    m.probedMs = now;
    this.send(m, letter.token, m.session, letter.commands);
  }

  private send(m: Machine, token: number, session: number, commands: Command[]): void {
    this.errands.set(m.name, this.o.clock.nowMs());
    const via = this.detour.delete(m.name) ? null : m.server;
    this.o.errand(this.r.mandate.term, via, {
      machine: m.name,
      address: m.address,
      token,
      session,
      commands,
    });
  }

  errandBack(result: ErrandResult): void {
    const { r } = this;
    const m = r.machines.get(result.machine);
    if (!m) return;
    const now = this.o.clock.nowMs();
    this.errands.delete(m.name);
    // An errand of an earlier term of ours may come back late: its token tells.
    if (result.token < firstToken(r.mandate.term)) return;
    const raise = this.waiting.get(m.name);
    this.waiting.delete(m.name);
    if (result.report && r.loaded) {
      if (result.report.token >= firstToken(r.mandate.term + 1)) {
        this.o.onDeposed(r.mandate.term);
        return;
      }
      const fresh = this.absorb(m, result.report, now);
      m.lastHeardMs = Math.max(m.lastHeardMs, now);
      if (result.status === 409 && fresh) {
        // Refused whole: the starts in it were not carried out, so they may go again at once.
        for (const a of m.attempts)
          if (a.phase === null && a.sentToken === result.token) a.sentMs = -Infinity;
      }
      if (fresh) this.conclude(m);
      else this.sendSoon(m, raise);
    } else if (result.status === null) {
      // Sent, and no answer: it may not hear us. The next one goes another way, under a token that proves it does.
      this.detour.add(m.name);
      if (!result.neverSent) m.doubt(now);
      // What was planned there in the meantime was never sent: it need not wait for any proof.
      if (!m.hears) this.giveUpUnsent(m, Infinity);
    }
  }

  superviseAll(now: number): void {
    const { operator, platform } = this.o;
    // Until its lease is over, its tasks count as running and may come back; after that their place is free without
    // giving the machine back, and most silent machines do come back.
    const silentAfter = Math.max(operator.abandonS, platform.leaseS + 2) * 1000;
    // When most of a zone is silent at once, its machines are probably well and only we can't hear them:
    // their leases prove their tasks gone, and giving all of them back would leave nothing to come back to.
    const zones = new Map<string, { up: number; silent: number }>();
    const servers = new Map<string, { up: number; silent: number }>();
    let spotUp = 0;
    for (const m of this.r.machines.values()) {
      if (m.state !== "up") continue;
      if (m.spot) spotUp++;
      const z = zones.get(m.zone) ?? { up: 0, silent: 0 };
      z.up++;
      if (now - m.lastHeardMs > operator.suspectS * 1000) z.silent++;
      zones.set(m.zone, z);
      const s = servers.get(m.server ?? "") ?? { up: 0, silent: 0 };
      s.up++;
      if (now - m.lastHeardMs > operator.suspectS * 1000) s.silent++;
      servers.set(m.server ?? "", s);
    }
    this.estimates.spotRan(spotUp, now);
    for (const m of [...this.r.machines.values()]) {
      if (m.state === "leaving") continue;
      if (m.cordoned && now > m.cordonUntilMs) m.cordoned = false;
      if (m.state === "booting") {
        const boot = m.type?.bootS ?? 60;
        // Known only from a record, and silent since this term began: its lease proves the tasks gone, also those
        // whose start is still on its way, for that names a session that is over. The machine may yet come back.
        if (m.attempts.size > 0 && this.leaseIsOver(m, now)) {
          log.info(`${m.name}: not heard of in this term, its lease is over`);
          for (const a of [...m.attempts]) this.r.attempts.lost(a);
        }
        // One that has come up for an earlier leader is not late but silent: cut off, say, and back in a while.
        const known = m.attempts.size > 0 || m.listedUp;
        const sinceMs = known ? Math.max(m.bornMs, this.r.startedMs) : m.bornMs;
        const limit = known ? Math.max(platform.leaseS * 2 + 10, operator.abandonS) : boot * 3 + 30;
        if (now - sinceMs > limit * 1000 && now - this.r.startedMs > 5000)
          this.r.fleet.remove(m, "never came up");
        continue;
      }
      const silence = now - m.lastHeardMs;
      if (m.attempts.size > 0 && now - m.lastAckMs > platform.leaseS * 1000 && this.leaseIsOver(m, now)) {
        log.info(`${m.name}: silent for ${(silence / 1000).toFixed(1)} s, its lease is over`);
        for (const a of [...m.attempts]) this.r.attempts.lost(a);
      }
      const zone = zones.get(m.zone)!;
      const mass = zone.silent >= 3 && zone.silent * 2 > zone.up;
      const via = servers.get(m.server ?? "")!;
      // Most silent spot machines have been taken, and the cloud's answer to their deletion proves it well before their
      // lease does. Not so when many fall silent that one controller served: then it is the controller.
      const alone = !mass && (via.silent < 4 || via.silent * 4 < via.up);
      if (m.spot && alone && m.attempts.size > 0 && silence > operator.spotSilentS * 1000) {
        this.r.fleet.remove(m, `spot machine silent for ${(silence / 1000).toFixed(1)} s`);
        continue;
      }
      if (silence > (mass ? 90_000 : silentAfter)) {
        this.r.fleet.remove(m, `silent for ${(silence / 1000).toFixed(1)} s`);
        continue;
      }
      if (m.takenAtMs !== null && now > m.takenAtMs + 5000 && silence > 4000) {
        this.r.fleet.remove(m, "taken by the cloud");
        continue;
      }
      this.remind(m, now, silence);
      if (m.attempts.size === 0 && m.idleSinceMs !== null) {
        if (m.cordoned) this.r.fleet.remove(m, m.cordonReason);
        else if (!m.hears && now - Math.max(m.idleSinceMs, m.doubtedMs, this.r.startedMs) > silentAfter)
          this.r.fleet.remove(m, "is heard, but doesn't hear us");
        else if (
          silence < operator.suspectS * 1000 &&
          now - m.idleSinceMs > operator.idleKeepS * 1000 &&
          !this.r.placer.holdsRoomOn(m.name) &&
          now - m.bornMs > 58_000
        )
          this.r.fleet.remove(m, "idle");
        continue;
      }
    }
    for (const [name, sinceMs] of this.errands) {
      if (now - sinceMs < ERRAND_MS) continue;
      this.errandBack({
        machine: name,
        token: firstToken(this.r.mandate.term),
        status: null,
        neverSent: false,
        report: null,
      });
    }
  }

  /** Starts that were planned before then and never sent go elsewhere. */
  private giveUpUnsent(m: Machine, beforeMs: number): void {
    for (const a of [...m.attempts]) {
      if (a.sentToken < 0 && !a.inherited && a.plannedMs < beforeMs && m.attempts.has(a))
        this.r.attempts.stopOrderly(a);
    }
  }

  private leaseIsOver(m: Machine, now: number): boolean {
    const { r } = this;
    // Nobody of an earlier term can have renewed it after `othersSilentFromMs`.
    const lastMs = Math.max(m.lastAckMs, r.mandate.othersSilentFromMs);
    if (now < leaseOverMs(lastMs, this.o.platform.leaseS)) return false;
    const facts = r.servers.facts(m.zone, r.mandate.othersSilentFromMs);
    return now >= silentFromMs(lastMs, facts, this.o.platform.leaseS);
  }

  /** Says again what has shown no effect yet. */
  private remind(m: Machine, now: number, silence: number): void {
    if (!m.hears || silence > HOLD_BACK_MS) this.giveUpUnsent(m, now - HOLD_BACK_MS);
    if (silence > 3000 || this.errands.has(m.name)) return;
    let due = !m.hears && now - m.probedMs > PROBE_MS;
    let raise = false;
    for (const a of m.attempts) {
      if (a.stop) due ||= now - a.stop.lastSentMs > 1500;
      // Became durable when we might start nothing: a machine that has nothing new to say gives no other occasion.
      else if (a.durable && a.sentToken < 0 && !a.inherited) due ||= m.hears && this.r.full();
      else if (a.phase === null && !a.inherited && a.sentToken >= 0 && now - a.sentMs > 1500) {
        due = true;
        // A session that the start doesn't name, or a token above it, tells what became of it.
        raise ||= a.sentToken >= m.token && now - a.sentMs > 4000;
      }
    }
    due ||= now - m.probedMs > REAP_MS && m.reported.some((t) => t.phase === "exited");
    if (due) this.sendSoon(m, raise);
  }
}

/** A task that ran had its image. */
function machineImage(m: Machine, job: Job, t: ReportedTask): void {
  if (t.cause === "done" || t.cause === "error") m.imageReady(job.spec.image);
}
