/** Actors: state that only one message at a time touches, so that no lock is needed. */
import { describeException, log } from "./log.js";

/** Runs what follows it once the present turn's code is through; `queueMicrotask` makes a resource for each call. */
const settled = Promise.resolve();

/**
 * An object with a mailbox: messages are handled one at a time, in order, and never inside the sender's own turn, so
 * that only the actor itself touches its state.
 */
export abstract class Actor<Message extends { kind: string }> {
  private readonly queue: Message[] = [];
  private isDrainScheduled = false;

  /** The name stands in front of this actor's log lines. */
  protected constructor(private readonly actorName: string) {}

  /** Puts a message into the mailbox; it is handled after the present turn. */
  tell(message: Message): void {
    this.queue.push(message);
    if (!this.isDrainScheduled) {
      this.isDrainScheduled = true;
      void settled.then(this.drain);
    }
  }

  /** Handles one message. What it throws goes to `failed`; the messages behind it are handled all the same. */
  protected abstract handle(message: Message): void;

  /**
   * Called for an exception out of `handle`: one bad message must not end the process. Logs it; an actor that owes its
   * sender a response overrides this, calls it and responds.
   */
  protected failed(message: Message, error: unknown): void {
    this.logFailure(message.kind, error);
  }

  /** Logs an exception with its stack, under the actor's name and the kind of the message that was handled. */
  protected logFailure(kind: string, error: unknown): void {
    log.error(`${this.actorName}: ${kind}: ${describeException(error)}`);
  }

  private readonly drain = (): void => {
    this.isDrainScheduled = false;
    const batch = this.queue.splice(0);
    for (const message of batch) {
      try {
        this.handle(message);
      } catch (error) {
        this.failed(message, error);
      }
    }
  };
}
