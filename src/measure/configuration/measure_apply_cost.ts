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
  changeRequestDeadline,
  createLargeConfiguration,
} from "./create_large_configuration.ts";

/** Processor time and bytes of one change. */
export interface ApplyCost {
  /** From the received bytes to the version in force. */
  readonly applyMs: number;
  readonly patchTransferBytes: number;
  readonly wholeTransferBytes: number;
}

const CHANGE_COUNT = 40;
const WARM_UP_CHANGE_COUNT = 10;

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
  const fullTransfer = createConfigurationTransfer(sender, 0);
  applyTransfer(receiver, fullTransfer);
  let totalMs = 0;
  let totalBytes = 0;
  for (let change = 1; change <= CHANGE_COUNT; change += 1) {
    const next = changeRequestDeadline(document, change);
    const patch = createDocumentPatch(document, next);
    sender.replaceIfNewer(next, change + 1, [patch]);
    const transfer = createConfigurationTransfer(sender, receiver.version);
    const startedAtMs = performance.now();
    applyTransfer(receiver, transfer);
    if (change > WARM_UP_CHANGE_COUNT) {
      totalMs += performance.now() - startedAtMs;
      totalBytes += transfer.length;
    }
    document = next;
  }
  const measuredChanges = CHANGE_COUNT - WARM_UP_CHANGE_COUNT;
  return {
    applyMs: totalMs / measuredChanges,
    patchTransferBytes: totalBytes / measuredChanges,
    wholeTransferBytes: fullTransfer.length,
  };
}

function applyTransfer(
  receiver: ConfigurationHolder,
  bytes: Uint8Array,
): void {
  const received = readConfigurationTransfer(
    bytes,
    receiver.current?.document,
  )._unsafeUnwrap();
  if (received) {
    const { configuration, patches, version } = received;
    receiver.replaceIfNewer(configuration, version, patches);
  }
}
