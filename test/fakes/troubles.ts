import type { BootFault } from "./cloud.js";
import type { SimWorker } from "./worker.js";
import type { SimJob } from "./job.js";
import type { World } from "./world.js";

/** Users of the simulated world ask about a job this often. */
const POLL_EVERY_MS = 2500;

/** One trouble, brought about at the moment of the call. */
export type Trouble = (w: World) => void;

export const isPeer = (host: string): boolean => /^n\d/.test(host);
export const isWorker = (host: string): boolean => host.startsWith("10.");
export const isState = (host: string): boolean => host === "state:1";

export function leaderName(world: World): string {
  return world.controllers.leaderOrFirst;
}

/** The leader's host. */
export function leaderHost(world: World): string {
  return `${leaderName(world)}:80`;
}

export function followers(world: World): string[] {
  return world.controllers.names.filter((n) => n !== world.leader);
}

export function anyNode(world: World): string {
  return world.controllers.names[Math.floor(world.random() * world.controllers.names.length)]!;
}

export function anyWorker(world: World): SimWorker | undefined {
  const all = [...world.fleet.workers.values()];
  return all[Math.floor(world.random() * all.length)];
}

export const crashLeader =
  (backMs: number): Trouble =>
  (world) =>
    world.controllers.crash(leaderName(world), backMs);

export const crashAll =
  (backMs: number): Trouble =>
  (world) =>
    world.controllers.names.forEach((n) => world.controllers.crash(n, backMs));

/** Cuts one controller off from those hosts, itself not among them. */
export function cutOff(world: World, host: string, from: (host: string) => boolean, forMs: number): void {
  world.net.partition(
    (h) => h === host,
    (h) => h !== host && from(h),
    forMs,
  );
}

/** Without the state service and the other controllers, but not without its workers and users. */
export function alone(world: World, host: string, forMs: number): void {
  cutOff(world, host, (h) => isState(h) || isPeer(h), forMs);
}

export function cutLeader(world: World, from: (host: string) => boolean, forMs: number): void {
  cutOff(world, leaderHost(world), from, forMs);
}

/** Zone b's machines, and that controller with them, reach nothing else of what `from` names. */
export function cutZone(
  world: World,
  name: string,
  forMs: number,
  from: (host: string) => boolean = () => true,
): void {
  const inside = world.fleet.zoneHosts("b", `${name}:80`);
  world.net.partition(inside, (h) => !inside(h) && from(h), forMs);
}

/** So many machines are heard, but answers and commands to them are lost in time. */
export function deafen(world: World, count: number, forMs: number): void {
  const deaf = new Set([...world.fleet.workers.values()].slice(0, count).map((x) => x.machine.address));
  world.net.partition(
    () => true,
    (h) => deaf.has(h),
    forMs,
    true,
  );
}

/** So many machines reach no controller, while commands reach them. */
export function mute(world: World, count: number, forMs: number): void {
  const names = [...world.fleet.workers.keys()];
  const from = Math.floor(world.random() * names.length);
  for (let i = 0; i < count; i++)
    world.controllers.dropHeartbeatResponses(names[(from + i) % names.length] ?? "", forMs);
}

/** One that goes on far beyond the day, unless it is cancelled. */
export function longJob(world: World, i: number): SimJob {
  return world.users.submit(
    {
      ref: `job-9${String(i).padStart(5, "0")}`,
      crew: i % 2 ? "one" : "two",
      form: "standing",
      rank: "prod",
      cores: 1,
      windfall: i % 3 > 0,
    },
    null,
  );
}

/** Jobs that run and were not called off, the ones with long to go first. */
function running(world: World): SimJob[] {
  return [...world.users.jobs.values()]
    .filter(
      (j) =>
        j.isAccepted &&
        !j.isCancelRequested &&
        j.finalPhase === null &&
        world.fleet.liveTasks(j.spec.ref).length > 0,
    )
    .sort((a, b) => (b.runS ?? 1e9) - (a.runS ?? 1e9));
}

/** Their users call off so many of them within a fifth of a second; with `hangMs` up to eight of their machines hang. */
export function cancelRunning(world: World, count: number, hangMs = 0, at?: string): void {
  const hung = new Set<SimWorker>();
  for (const job of running(world).slice(0, count)) {
    world.clock.after(world.random() * 200, () => {
      world.users.cancel(job, at);
      if (hangMs === 0) return;
      for (const { worker: machine } of world.fleet.liveTasks(job.spec.ref)) {
        if (hung.size >= 8 || hung.has(machine)) continue;
        hung.add(machine);
        machine.hang(hangMs);
      }
    });
  }
}

/** At the moment at which a job's last task ends, that share of them is called off, asked about or submitted again. */
export function meetTheEnd(world: World, share: number, forMs: number): void {
  const untilMs = world.clock.nowMs() + forMs;
  world.onTaskEnd = (job, task) => {
    if (world.clock.nowMs() > untilMs || task.cause !== "done" || job.doneTasks.size < job.spec.spores)
      return;
    if (world.random() >= share || !job.isAccepted || job.isCancelRequested) return;
    const what = world.random();
    const delayMs = world.random() < 0.5 ? 0 : world.random() * 60;
    world.clock.after(delayMs, () => {
      if (what < 0.6) world.users.cancel(job);
      if (what > 0.4) world.users.queryStatus(job);
      if (what > 0.7) world.users.resubmit(job);
    });
  };
}

/** Stands still for a minute or more and goes on as it was, with its old term and all that came in meanwhile. */
export function silence(world: World, node: string, forMs: number): void {
  world.expectFaultsFor(forMs);
  world.controllers.freeze(node, forMs);
}

/** Users ask about each unfinished job that many times as often as they use to. */
export function floodOfQuestions(world: World, factor: number, forMs: number): void {
  const untilMs = world.clock.nowMs() + forMs;
  const next = (): void => {
    if (world.clock.nowMs() > untilMs) return;
    world.clock.after(POLL_EVERY_MS / factor, next);
    for (const job of world.users.jobs.values())
      if (job.isAccepted && job.finalPhase === null) world.users.queryStatus(job);
  };
  next();
}

/** Jobs that fail on every machine until their users cancel them, once the time is over. */
export function mistakes(world: World, count: number, cancelledAfterMs: number): void {
  const forms = [
    { form: "array", spores: 8, cores: 1, rank: "high" },
    { form: "standing", spores: 2, cores: 1, rank: "prod" },
    { form: "ensemble", spores: 2, cores: 1, gpus: 1, rank: "high", together: true },
  ];
  const failing = new Set<string>();
  const before = world.fleet.failsEverywhere;
  world.fleet.failsEverywhere = (spore) => failing.has(spore.split("/")[0]!) || before(spore);
  for (let i = 0; i < count; i++) {
    const ref = `job-6${String(world.users.faultJobCount++).padStart(5, "0")}`;
    failing.add(ref);
    const form = forms[i % forms.length]!;
    const job = world.users.submit({ ref, crew: i % 2 ? "one" : "two", memoryGb: 1, ...form }, 5);
    world.clock.after(cancelledAfterMs, () => world.users.cancel(job));
  }
}

/** So many machines fail every task that they start. */
export function faultyMachines(world: World, count: number, forMs: number): void {
  const names = [...world.fleet.workers.keys()].slice(0, count);
  for (const name of names) world.fleet.faultyMachines.add(name);
  world.clock.after(forMs, () => names.forEach((name) => world.fleet.faultyMachines.delete(name)));
}

/** Some machines are lost, and those rented in their place are in trouble as they boot. */
export function troubledBoots(world: World, lost: number, trouble: BootFault, forMs: number): void {
  world.expectFaultsFor(forMs);
  world.cloud.disturbBoots(trouble, forMs);
  for (let i = 0; i < lost; i++) world.cloud.loseMachine(anyWorker(world)?.machine.id ?? "");
}

const GOOD = {
  strain: "s",
  crew: "one",
  form: "array",
  rank: "standard",
  spores: 2,
  cores: 1,
  gpus: 0,
  memoryGb: 1,
  seedstock: "img",
  pullGb: 1,
  together: false,
  scatter: false,
  windfall: true,
  guessS: 5,
  cairnS: 0,
  stashS: 0,
};

/** What can never run, and what lacks a field; each must be refused, and nothing of it ever start. */
export const NEVER: [400 | 422, Record<string, unknown>][] = [
  [422, { crew: "nobody" }],
  [422, { cores: 17 }],
  [422, { breeds: ["small"], gpus: 1 }],
  [422, { breeds: [] }],
  [422, { patch: "c" }],
  [422, { form: "ensemble", scatter: true, together: true }],
  [422, { form: "standing", scatter: true, patch: "a" }],
  [422, { form: "standing", spores: 21 }],
  [400, { spores: 0 }],
  [400, { spores: 1.5 }],
  [400, { form: "cluster" }],
  [400, { ref: "task-1" }],
  [400, { memoryGb: undefined }],
  [400, { together: null }],
  [400, { seedstock: undefined }],
];

/** Users repeat submissions of unfinished jobs, cancel jobs that are done, and send what fits nowhere or lacks a field. */
export function oddRequests(world: World, forMs: number): void {
  const untilMs = world.clock.nowMs() + forMs;
  const next = (): void => {
    if (world.clock.nowMs() > untilMs) return;
    world.clock.after(300 + world.random() * 700, next);
    const jobs = [...world.users.jobs.values()].filter((j) => j.isAccepted);
    const unfinished = jobs.filter((j) => j.finalPhase === null);
    const done = jobs.filter((j) => j.finalPhase === "done");
    const one = (of: SimJob[]): SimJob | undefined => of[Math.floor(world.random() * of.length)];
    const again = one(unfinished);
    if (again) world.users.resubmit(again);
    const over = one(done);
    if (over) world.users.cancel(over);
    const [status, change] = NEVER[Math.floor(world.random() * NEVER.length)]!;
    world.users.submitInvalid(status, {
      ...GOOD,
      ref: `job-8${String(world.users.faultJobCount++).padStart(7, "0")}`,
      ...change,
    });
  };
  next();
}

/** The troubles that days are drawn from, each with what it draws for itself. */
export const TROUBLES: { name: string; play: (w: World) => void }[] = (() => {
  const upTo = (w: World, ms: number): number => 1500 + w.random() * ms;
  const some = (w: World, n: number): number => 1 + Math.floor(w.random() * n);
  return [
    {
      name: "leader ends, back at once",
      play: (w) => w.controllers.crash(leaderName(w), 40 + w.random() * 200),
    },
    { name: "leader ends, back in seconds", play: (w) => w.controllers.crash(leaderName(w), upTo(w, 4000)) },
    { name: "a controller ends", play: (w) => w.controllers.crash(anyNode(w), 50 + w.random() * 4000) },
    {
      name: "all end",
      play: (w) => w.controllers.names.forEach((n) => w.controllers.crash(n, 60 + w.random() * 3000)),
    },
    { name: "all away for longer than a lease", play: (w) => crashAll(8500 + w.random() * 3000)(w) },
    {
      name: "ten leaders in a row",
      play: (world) => {
        for (let i = 0; i < 10; i++)
          world.clock.after(i * 3500, () =>
            world.controllers.crash(leaderName(world), 40 + world.random() * 3000),
          );
      },
    },
    { name: "state outage", play: (w) => w.stateStore.startOutage(upTo(w, 36_000)) },
    {
      name: "leader refused by the state",
      play: (w) => w.stateStore.refuseHost(leaderHost(w), upTo(w, 20_000)),
    },
    {
      name: "a controller refused by the state",
      play: (w) => w.stateStore.refuseHost(`${anyNode(w)}:80`, upTo(w, 20_000)),
    },
    {
      name: "leader refused, then everybody",
      play: (w) => {
        w.stateStore.refuseHost(leaderHost(w), 20_000);
        w.clock.after(200 + w.random() * 3500, () => w.stateStore.startOutage(upTo(w, 36_000)));
      },
    },
    {
      name: "late transactions",
      play: (w) => w.stateStore.delayTransactions(0.1 + w.random() * 0.4, upTo(w, 20_000)),
    },
    { name: "leader cut from the state", play: (w) => cutLeader(w, isState, upTo(w, 20_000)) },
    { name: "leader cut from workers", play: (w) => cutLeader(w, isWorker, upTo(w, 25_000)) },
    {
      name: "a controller cut from workers",
      play: (w) => cutOff(w, `${anyNode(w)}:80`, isWorker, upTo(w, 25_000)),
    },
    { name: "leader cut from peers", play: (w) => cutLeader(w, isPeer, upTo(w, 20_000)) },
    { name: "leader alone with its workers", play: (w) => alone(w, leaderHost(w), upTo(w, 30_000)) },
    {
      name: "a controller alone with its workers",
      play: (w) => alone(w, `${anyNode(w)}:80`, upTo(w, 30_000)),
    },
    { name: "links refused", play: (w) => w.controllers.reportPeerRefused(leaderName(w)) },
    { name: "leader stands still", play: (w) => w.controllers.freeze(leaderName(w), upTo(w, 20_000)) },
    { name: "a controller stands still", play: (w) => w.controllers.freeze(anyNode(w), upTo(w, 20_000)) },
    {
      name: "zone cut with a controller",
      play: (w) => cutZone(w, anyNode(w), upTo(w, 40_000)),
    },
    {
      name: "zones apart, state reached",
      play: (w) =>
        cutZone(w, anyNode(w), upTo(w, 30_000), (h) => !isState(h) && h !== "cloud:1" && h !== "user:1"),
    },
    { name: "machines hang", play: (w) => [0, 1, 2].forEach(() => anyWorker(w)?.hang(w.random() * 20_000)) },
    { name: "machines deaf", play: (w) => deafen(w, some(w, 4), upTo(w, 25_000)) },
    { name: "machines mute", play: (w) => mute(w, some(w, 4), upTo(w, 25_000)) },
    {
      name: "machines gone",
      play: (w) => [0, 1, 2].forEach(() => w.cloud.loseMachine(anyWorker(w)?.machine.id ?? "")),
    },
    { name: "cloud outage", play: (w) => w.cloud.startOutage(upTo(w, 20_000)) },
    { name: "cancellations", play: (w) => cancelRunning(w, some(w, 8)) },
    { name: "cancellations, machines hang", play: (w) => cancelRunning(w, some(w, 8), upTo(w, 12_000)) },
    { name: "requests meet the end", play: (w) => meetTheEnd(w, 0.6, 25_000) },
    { name: "odd requests", play: (w) => oddRequests(w, 20_000) },
    {
      name: "leader silent for a minute or more",
      play: (w) => silence(w, leaderName(w), 60_000 + w.random() * 60_000),
    },
    {
      name: "a controller silent for a minute or more",
      play: (w) => silence(w, anyNode(w), 60_000 + w.random() * 60_000),
    },
    { name: "flood of questions", play: (w) => floodOfQuestions(w, 8, upTo(w, 30_000)) },
    { name: "jobs with a mistake", play: (w) => mistakes(w, some(w, 5), upTo(w, 30_000)) },
    { name: "faulty machines", play: (w) => faultyMachines(w, some(w, 3), upTo(w, 30_000)) },
    {
      name: "boots late",
      play: (w) => troubledBoots(w, some(w, 5), { delayFactor: 4, neverShare: 0 }, upTo(w, 40_000)),
    },
    {
      name: "boots that never come",
      play: (w) => troubledBoots(w, some(w, 5), { delayFactor: 1, neverShare: 0.6 }, upTo(w, 40_000)),
    },
    {
      name: "boots at once",
      play: (w) => troubledBoots(w, some(w, 5), { delayFactor: 0.1, neverShare: 0 }, upTo(w, 40_000)),
    },
  ] satisfies { name: string; play: (w: World) => void }[];
})();

/** What a seed stands for: a world, and some of the troubles at their times. */
export interface Draw {
  options: { controllerCount: number; zones?: string[]; capacity: number };
  repeatShare: number;
  troubles: { atS: number; name: string }[];
}

/** Two to four meetings of two troubles each, the second within a few seconds of the first. */
export function draw(random: () => number): Draw {
  const controllerCount = random() < 0.5 ? 3 : 5;
  const zones = random() < 0.5 ? undefined : ["a", "a", "b", "a", "b"].slice(0, controllerCount);
  const troubles: Draw["troubles"] = [];
  const any = (): string => TROUBLES[Math.floor(random() * TROUBLES.length)]!.name;
  const meetings = 2 + Math.floor(random() * 3);
  for (let i = 0; i < meetings; i++) {
    const atS = 8 + random() * 45;
    troubles.push({ atS, name: any() }, { atS: atS + random() * 6, name: any() });
    if (random() < 0.5) troubles.push({ atS: atS + 0.2 + random() * 3, name: "cancellations" });
  }
  troubles.sort((a, b) => a.atS - b.atS);
  return {
    options: { controllerCount, ...(zones ? { zones } : {}), capacity: 10 + Math.floor(random() * 8) },
    repeatShare: random() < 0.5 ? 0.1 : 0,
    troubles,
  };
}
