/** Stores reserved machine capacity between scheduling cycles. */
import type { JobRegistry } from "../term/jobRegistry.js";
import type { Reservation } from "./placementPlan.js";

/** Lifetime of a reservation that was made by preemption; the preempted tasks stop within it. */
const RESERVATION_DURATION_MS = 6000;
/** Lifetime of a gang's reservation, while the gang waits for the rest of its capacity. */
const GANG_RESERVATION_DURATION_MS = 180_000;

interface TimedReservation extends Reservation {
  /** Steady time at which the reservation expires. */
  expiresAtMs: number;
}

/** Owns the reservations of machine capacity for jobs that could not start in the cycle that reserved it. */
export class Reservations {
  private reservations: TimedReservation[] = [];

  constructor(private readonly jobs: JobRegistry) {}

  /** Returns the reservations that have not expired. */
  active(nowMs: number): Reservation[] {
    return this.reservations.filter((reservation) => reservation.expiresAtMs > nowMs);
  }

  /**
   * Returns true if the last cycle kept a reservation on the machine, even if it has expired since; the machine then
   * does not count as idle.
   */
  isReserved(machine: string): boolean {
    return this.reservations.some((reservation) => reservation.machine === machine);
  }

  /**
   * Replaces the reservations with those of a new cycle. A renewed reservation keeps its expiry time, so that capacity
   * is not held forever for a job that cannot start.
   */
  replace(reservations: Reservation[], nowMs: number): void {
    const knownExpiriesMs = new Map(this.reservations.map((known) => [keyOf(known), known.expiresAtMs]));
    this.reservations = reservations.map((reservation) => {
      const expiresAtMs = knownExpiriesMs.get(keyOf(reservation)) ?? nowMs + this.durationMs(reservation);
      return { ...reservation, expiresAtMs };
    });
  }

  private durationMs({ jobId }: Reservation): number {
    return this.jobs.get(jobId)?.spec.kind === "gang"
      ? GANG_RESERVATION_DURATION_MS
      : RESERVATION_DURATION_MS;
  }
}

/** A job id contains no space, so the key is unambiguous whatever the machine's name contains. */
function keyOf({ jobId, machine }: Reservation): string {
  return `${jobId} ${machine}`;
}
