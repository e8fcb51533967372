/** Room that is kept on machines between cycles for jobs that could not begin yet. */
import type { JobRegistry } from "../term/jobRegistry.js";
import type { Reservation } from "./placementPlan.js";

/** How long room is kept that other work was preempted for: the stopped tasks end within it. */
const RESERVATION_MS = 6000;
/** How long it is kept for a gang, while the rest of its room is gathered. */
const GANG_RESERVATION_MS = 180_000;

interface TimedReservation extends Reservation {
  untilMs: number;
}

/** Owns the room that is kept on machines for jobs that could not start in the cycle that made the room. */
export class Reservations {
  private reservations: TimedReservation[] = [];

  constructor(private readonly jobs: JobRegistry) {}

  /** Those that have not expired. */
  active(nowMs: number): Reservation[] {
    return this.reservations.filter((reservation) => reservation.untilMs > nowMs);
  }

  /** Is room on the machine kept for a job? Then the machine is not idle. */
  includes(machine: string): boolean {
    return this.reservations.some((reservation) => reservation.machine === machine);
  }

  /**
   * Takes the reservations of a new cycle. Each expires a while after it was first made, so that nothing is kept for ever
   * for a job that can't start.
   */
  replace(reservations: Reservation[], nowMs: number): void {
    const knownUntilMs = new Map(this.reservations.map((known) => [keyOf(known), known.untilMs]));
    this.reservations = reservations.map((reservation) => {
      const untilMs = knownUntilMs.get(keyOf(reservation)) ?? nowMs + this.durationMs(reservation);
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
