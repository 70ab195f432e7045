/**
 * Turns of the event loop for which readers are held back at most. Each of them accepts a connection
 * and takes about a millisecond, so that sound streams are hardly delayed.
 */
export const MAX_HELD_TURNS = 64;

/**
 * Holds readers back while connections are accepted. A listening socket accepts one connection in
 * each turn of the event loop, so that clients wait for as many turns as there are clients before
 * them. Turns in which many answers are read take long.
 */
export class ReadGate {
  private isClosed = false;
  private heldTurns = 0;
  private turnsUntilOpen = 0;
  /** Functions that wake the readers that were held back. */
  private readonly waiting = new Set<() => void>();

  /** Holds readers back until a turn has passed without another call. */
  hold(): void {
    // The current turn ends with the first count.
    this.turnsUntilOpen = 2;
    if (this.isClosed) return;
    this.isClosed = true;
    this.heldTurns = 0;
    setImmediate(() => this.countTurn());
  }

  /** Whether a reader may read now; if not, `wake` is called when it may. */
  mayRead(wake: () => void): boolean {
    if (this.isClosed) this.waiting.add(wake);
    return !this.isClosed;
  }

  private countTurn(): void {
    this.turnsUntilOpen--;
    this.heldTurns++;
    if (this.turnsUntilOpen > 0 && this.heldTurns < MAX_HELD_TURNS) {
      setImmediate(() => this.countTurn());
      return;
    }
    this.isClosed = false;
    const readers = [...this.waiting];
    this.waiting.clear();
    for (const wake of readers) wake();
  }
}
