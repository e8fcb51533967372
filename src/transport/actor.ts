/** The base class of actors. Only one message handler at a time accesses an actor's state, so it needs no locks. */
import { describeException, log } from "./log.js";

/** `then` on this promise schedules a microtask without the async resource that each `queueMicrotask` call creates. */
const resolvedPromise = Promise.resolve();

/**
 * An object with a mailbox. Messages are handled one at a time, in the order in which they were posted, and never
 * synchronously within `post`, so a handler is never re-entered.
 */
export abstract class Actor<Message extends { kind: string }> {
  private readonly queue: Message[] = [];
  private isDrainScheduled = false;

  /** `actorName` is the prefix of this actor's log lines. */
  protected constructor(private readonly actorName: string) {}

  /** Adds a message to the mailbox; a later microtask handles it. */
  post(message: Message): void {
    this.queue.push(message);
    if (!this.isDrainScheduled) {
      this.isDrainScheduled = true;
      void resolvedPromise.then(this.drain);
    }
  }

  /** Handles one message. An exception is passed to `handleError`; the messages after it are still handled. */
  protected abstract handle(message: Message): void;

  /**
   * Logs an exception thrown by `handle`, because one bad message must not end the process. An actor that owes the
   * sender a response overrides this method to send an error response as well.
   */
  protected handleError(message: Message, error: unknown): void {
    this.logFailure(message.kind, error);
  }

  /** Logs an exception with its stack trace, the actor's name and the kind of the message whose handler threw it. */
  protected logFailure(kind: string, error: unknown): void {
    log.error(`${this.actorName}: handling of "${kind}" failed: ${describeException(error)}`);
  }

  private readonly drain = (): void => {
    this.isDrainScheduled = false;
    const batch = this.queue.splice(0);
    for (const message of batch) {
      try {
        this.handle(message);
      } catch (error) {
        this.handleError(message, error);
      }
    }
  };
}
