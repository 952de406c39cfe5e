/**
 * Collection of bodies that are no longer held.
 *
 * Node.js collects them after a growth that does not depend on the memory limit
 * of the process, so that they could take it past the limit.
 */

/** Bytes released since the last collection at which the next one is due. */
const COLLECTION_BYTES = 33_554_432;

/** Starts a collection each time that enough bytes have been released. */
export class GarbageCollection {
  readonly #collect: (() => void) | undefined;
  #releasedBytes = 0;

  /** Uses the collector of Node.js, if the process was started with `--expose-gc`. */
  constructor(collect: (() => void) | undefined = readCollector()) {
    this.#collect = collect;
  }

  /** Records that bytes are no longer held. */
  recordReleased(bytes: number): void {
    this.#releasedBytes += bytes;
    if (this.#releasedBytes >= COLLECTION_BYTES) {
      this.#releasedBytes = 0;
      // The bodies are still referenced by what releases them now.
      setImmediate(() => this.#collect?.());
    }
  }
}

function readCollector(): (() => void) | undefined {
  return globalThis.gc && (() => void globalThis.gc?.());
}
