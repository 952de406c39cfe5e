/**
 * Dispatch of received messages to the protocol that handles them.
 */

import type { GossipMessage } from "../generated/types.ts";
import type { AntiEntropy } from "./anti_entropy.ts";
import type { FailureDetector } from "./failure_detector.ts";
import type { RecordPuller } from "./record_puller.ts";
import type { Rejoiner } from "./rejoiner.ts";

/** Protocols that handle received messages. */
export interface MessageHandlers {
  readonly detector: FailureDetector;
  readonly antiEntropy: AntiEntropy;
  readonly puller: RecordPuller;
  readonly rejoiner: Rejoiner;
}

/**
 * Dispatches a message by its kind, after its records have been processed.
 *
 * @param handlers - Protocols of this daemon
 * @param message - Received message
 * @param source - Sender's address, of the form `address:port`
 *
 * @example
 * routeMessage(handlers, message, source);
 */
export function routeMessage(
  handlers: MessageHandlers,
  message: GossipMessage,
  source: string,
): void {
  const { antiEntropy, detector, puller, rejoiner } = handlers;
  switch (message.kind) {
    case "join":
      rejoiner.handleJoin(message, source);
      break;
    case "ping":
      detector.handlePing(message, source);
      rejoiner.introduceToUnknownSender(message, source);
      antiEntropy.compareDigest(message, source);
      break;
    case "ack":
      detector.handleAck(message);
      antiEntropy.compareDigest(message, source);
      break;
    case "ping-request":
      detector.handlePingRequest(message, source);
      break;
    case "digest":
      antiEntropy.handleDigest(message, source);
      break;
    case "pull":
      puller.handlePull(message, source);
      break;
    case "push":
      puller.handleResponse(message);
  }
}
