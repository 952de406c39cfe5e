/**
 * What one change costs a daemon at the size of the stated target.
 */

import {
  ConfigurationHolder,
  createConfigurationTransfer,
  createDocumentPatch,
  readConfigurationTransfer,
} from "../../configuration/mod.ts";
import {
  changeOneRequest,
  createLargeConfiguration,
} from "./create_large_configuration.ts";

/** Processor time and bytes of one change. */
export interface ApplyCost {
  /** From the received bytes to the version in force. */
  readonly applyMs: number;
  readonly patchTransferBytes: number;
  readonly wholeTransferBytes: number;
}

const CHANGES = 40;
const WARM_UP_CHANGES = 10;

/**
 * Passes changes from one holder to another and measures the receiver.
 *
 * @param serviceCount - Services in the configuration
 * @returns Processor time and bytes of one change
 *
 * @example
 * const { applyMs } = measureApplyCost(700);
 */
export function measureApplyCost(serviceCount: number): ApplyCost {
  const sender = new ConfigurationHolder();
  const receiver = new ConfigurationHolder();
  let document = createLargeConfiguration(serviceCount);
  sender.replaceIfNewer(document, 1);
  const whole = createConfigurationTransfer(sender, 0);
  receive(receiver, whole);
  let spentMs = 0;
  let bytes = 0;
  for (let change = 1; change <= CHANGES; change += 1) {
    const next = changeOneRequest(document, change);
    const patch = createDocumentPatch(document, next);
    sender.replaceIfNewer(next, change + 1, [patch]);
    const transfer = createConfigurationTransfer(sender, receiver.version);
    const startedAtMs = performance.now();
    receive(receiver, transfer);
    if (change > WARM_UP_CHANGES) {
      spentMs += performance.now() - startedAtMs;
      bytes += transfer.length;
    }
    document = next;
  }
  const counted = CHANGES - WARM_UP_CHANGES;
  return {
    applyMs: spentMs / counted,
    patchTransferBytes: bytes / counted,
    wholeTransferBytes: whole.length,
  };
}

function receive(receiver: ConfigurationHolder, bytes: Uint8Array): void {
  const received = readConfigurationTransfer(
    bytes,
    receiver.current?.document,
  )._unsafeUnwrap();
  if (received) {
    const { configuration, patches, version } = received;
    receiver.replaceIfNewer(configuration, version, patches);
  }
}
