import type { JobRegistry } from "../term/jobRegistry.js";
import type { Reservation } from "./placementPlan.js";

/** Room that others were preempted for is kept so long; a gang's so long, while the rest of it comes. */
const RESERVATION_MS = 6000;
const GANG_RESERVATION_MS = 180_000;

/** Owns the room that is kept on machines for jobs that could not begin in the cycle that made it. */
export class Reservations {
  private reservations: (Reservation & { untilMs: number })[] = [];

  constructor(private readonly jobs: JobRegistry) {}

  /** Those whose time is not over. */
  active(nowMs: number): Reservation[] {
    return this.reservations.filter((reservation) => reservation.untilMs > nowMs);
  }

  /** Room there is kept for a job, so it is not idle. */
  includes(machine: string): boolean {
    return this.reservations.some((reservation) => reservation.machine === machine);
  }

  /**
   * The reservations of a new cycle. Each lasts a while from when it was first made, so that nothing is kept for ever for
   * a job that can't come.
   */
  replace(reservations: Reservation[], nowMs: number): void {
    const before = new Map(this.reservations.map((known) => [keyOf(known), known.untilMs]));
    this.reservations = reservations.map((reservation) => {
      const untilMs = before.get(keyOf(reservation)) ?? nowMs + this.durationMs(reservation);
      return { ...reservation, untilMs };
    });
  }

  private durationMs({ jobId }: Reservation): number {
    return this.jobs.get(jobId)?.spec.kind === "gang" ? GANG_RESERVATION_MS : RESERVATION_MS;
  }
}

function keyOf({ jobId, machine }: Reservation): string {
  return `${jobId} ${machine}`;
}
