/** A stand-in of a user behind the load balancer: submits, asks and cancels as the protocol says. */
import { callJson } from "./httpJson.mjs";
import { sleep } from "./deployment.mjs";

const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;

/** A submission with the defaults of a plain array. */
export function submission(ref, fields) {
  return {
    ref,
    strain: "report",
    crew: "calendars",
    form: "array",
    rank: "standard",
    spores: 1,
    cores: 1.0,
    gpus: 0.0,
    memoryGb: 2.0,
    seedstock: "img-07",
    pullGb: 0.5,
    breeds: null,
    patch: null,
    together: false,
    scatter: false,
    windfall: false,
    guessS: 60.0,
    cairnS: 0.0,
    stashS: 0.0,
    dueS: null,
    ...fields,
  };
}

/** Options: `controllers`, `recorder`. Each request goes to the next controller, as new connections do. */
export class Users {
  constructor({ controllers, recorder }) {
    this.controllers = controllers;
    this.recorder = recorder;
    this.next = 0;
  }

  nextAddress() {
    this.next = (this.next + 1) % this.controllers.length;
    return this.controllers[this.next].address;
  }

  /** Repeats a change until it gets a final answer, for up to 60 s. */
  async change(what, path, body) {
    const endAt = Date.now() + 60_000;
    let reply = { status: 0, body: null };
    while (Date.now() < endAt) {
      const address = this.nextAddress();
      reply = await callJson(address, { method: "POST", path, body, timeoutMs: SUBMIT_TIMEOUT_MS });
      this.recorder.line(
        `${what}: ${JSON.stringify(body)} to ${address}: ${reply.status} ${JSON.stringify(reply.body)}`,
      );
      if ([200, 201, 400, 422].includes(reply.status)) return reply;
      await sleep(1000);
    }
    return reply;
  }

  submit(job) {
    return this.change(`submit ${job.ref}`, "/v1/jobs", job);
  }

  cancel(ref) {
    return this.change(`cancel ${ref}`, `/v1/jobs/${ref}/cancel`, {});
  }

  /** Asks once; `address` names the controller, if it matters. */
  async ask(ref, address = this.nextAddress()) {
    const reply = await callJson(address, { path: `/v1/jobs/${ref}`, timeoutMs: POLL_TIMEOUT_MS });
    this.recorder.line(`ask ${ref} at ${address}: ${reply.status} ${JSON.stringify(reply.body)}`);
    return reply;
  }
}
