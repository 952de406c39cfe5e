/**
 * Messages in progress to all holders.
 */

import { HolderChannel } from "./holder_channel.ts";

/** Maximum number of holders with messages in progress that are tracked. */
const MAX_CHANNELS = 256;

/** Channels by the incarnation of the holder. */
export class HolderChannels {
  readonly #channels = new Map<string, HolderChannel>();

  /** Returns the channel of a holder; creates it if there is none. */
  get(incarnation: string): HolderChannel {
    const known = this.#channels.get(incarnation);
    if (known) {
      return known;
    }
    const channel = new HolderChannel();
    this.#channels.set(incarnation, channel);
    if (this.#channels.size > MAX_CHANNELS) {
      const [oldest = ""] = this.#channels.keys();
      this.#channels.delete(oldest);
    }
    return channel;
  }
}
