/** How long a user's request may take at the state store. */

/** A submission or a cancellation. */
export const CHANGE_TIMEOUT_MS = 4200;
/** A job's state: users poll, and the next poll comes soon. */
export const STATUS_TIMEOUT_MS = 1700;
