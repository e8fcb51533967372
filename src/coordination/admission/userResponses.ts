/** The responses that users get. */
import { encodeJobPhase, type JobPhase } from "../../protocol/users.js";
import type { ServerResponse } from "../../transport/httpServer.js";
import { log } from "../../transport/log.js";

/** A user may come back after this. */
const RETRY_AFTER = { "Retry-After": "1" };

/** No job of that id was ever accepted. */
export const noSuchJob: ServerResponse = { status: 404, body: { error: "no such job" } };

/** A fault of this program; the request may be repeated. */
export const internalError: ServerResponse = {
  status: 500,
  body: { error: "internal error" },
  headers: RETRY_AFTER,
};

/** A job that is known, with its phase. */
export function jobPhaseResponse(id: string, phase: JobPhase): ServerResponse {
  return { status: 200, body: encodeJobPhase(id, phase) };
}

/** Nothing can be said or done at present. */
export function retryLater(reason: string): ServerResponse {
  log.debug(() => `asked a user to retry later: ${reason}`);
  return { status: 503, body: { error: reason }, headers: RETRY_AFTER };
}

/** A lookup has failed. */
export function stateStoreSilent(): ServerResponse {
  return retryLater("the state service does not answer");
}

/** The state store refused a write: it has not been carried out. */
export function stateStoreRefusesWrites(): ServerResponse {
  return retryLater("the state service does not take changes");
}
