/** Time limits for the state store accesses of users' requests. */

/** Timeout of a submission or a cancellation. */
export const CHANGE_TIMEOUT_MS = 4200;
/** Timeout of a status query; short, because users poll and the next query follows soon. */
export const STATUS_QUERY_TIMEOUT_MS = 1700;
