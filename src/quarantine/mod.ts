/**
 * Requests that crash the backend servers which run them: how they are
 * recognized, and what is known of them.
 */

export { CrashDetector } from "./crash_detector.ts";
export type { ServerCrash, TrackedRun } from "./crash_detector.ts";
export { CrashRecorder } from "./crash_recorder.ts";
export type { RecordedCall } from "./crash_recorder.ts";
export type { Crash, Suspect } from "./crash_table.ts";
export { FINGERPRINT_LENGTH, Fingerprinter } from "./fingerprinter.ts";
export { Quarantine } from "./quarantine.ts";
export type { ObservedCrash, QuarantineOptions } from "./quarantine.ts";
export { QuarantineArchive } from "./quarantine_archive.ts";
export type { IdentifiedCall } from "./request_identity.ts";
export type {
  CleanRunNotice,
  CrashNotice,
  RequestNotice,
} from "./request_notice.ts";
