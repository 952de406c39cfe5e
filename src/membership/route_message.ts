/**
 * Handing of a message to the protocol that it belongs to.
 */

import type { GossipMessage } from "../generated/types.ts";
import type { AntiEntropy } from "./anti_entropy.ts";
import type { FailureDetector } from "./failure_detector.ts";
import type { RecordPuller } from "./record_puller.ts";
import type { Rejoiner } from "./rejoiner.ts";

/** Protocols of one daemon. */
export interface MessageParts {
  readonly detector: FailureDetector;
  readonly antiEntropy: AntiEntropy;
  readonly puller: RecordPuller;
  readonly rejoiner: Rejoiner;
}

/**
 * Hands over a message whose records have been taken.
 *
 * @param parts - Protocols of the daemon
 * @param message - The message
 * @param source - Address and port that it came from
 *
 * @example
 * routeMessage(parts, message, source);
 */
export function routeMessage(
  parts: MessageParts,
  message: GossipMessage,
  source: string,
): void {
  const { antiEntropy, detector, puller, rejoiner } = parts;
  switch (message.kind) {
    case "join":
      rejoiner.handleJoin(message, source);
      break;
    case "ping":
      detector.handlePing(message, source);
      rejoiner.greetStranger(message, source);
      antiEntropy.noteDigest(message, source);
      break;
    case "ack":
      detector.handleAck(message);
      antiEntropy.noteDigest(message, source);
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
      puller.handleAnswer(message);
  }
}
