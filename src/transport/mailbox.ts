/** Runs what follows it once the present turn's code is through; `queueMicrotask` makes a resource for each call. */
const settled = Promise.resolve();

/**
 * The one mailbox that actors are spoken to through. Messages are handled one at a time, in order,
 * never inside the sender's own turn, so an actor's state is only touched by itself.
 */
export abstract class Actor<M> {
  private readonly queue: M[] = [];
  private scheduled = false;

  tell(message: M): void {
    this.queue.push(message);
    if (!this.scheduled) {
      this.scheduled = true;
      void settled.then(this.drain);
    }
  }

  protected abstract handle(message: M): void;

  /** Called for an exception out of `handle`: one bad message must not end the process. */
  protected abstract failed(message: M, error: unknown): void;

  private readonly drain = (): void => {
    this.scheduled = false;
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
