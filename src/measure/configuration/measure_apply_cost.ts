/**
 * Measures what applying one configuration change costs a daemon.
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

/** Average time and transferred bytes per change. */
export interface ApplyCost {
  /** Time from the received bytes to the active version. */
  readonly applyMs: number;
  readonly patchTransferBytes: number;
  readonly wholeTransferBytes: number;
}

const CHANGE_COUNT = 40;
const WARM_UP_CHANGE_COUNT = 10;

/**
 * Transfers changes from one configuration holder to another and measures the
 * receiving side.
 *
 * @param serviceCount - Number of services in the configuration
 * @returns Average cost per change after a warm-up, and the size of a full transfer
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
