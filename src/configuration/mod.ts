/**
 * Configuration of the protected call graph: validation, compilation, storage and
 * distribution.
 */

export { canonicalizeNamedLists } from "./canonicalize_named_lists.ts";
export type {
  CompiledAccounts,
  CompiledConfiguration,
  CompiledRequest,
} from "./compiled_configuration.ts";
export { compileConfiguration } from "./compile_configuration.ts";
export { ConfigurationHistory } from "./configuration_history.ts";
export { ConfigurationHolder } from "./configuration_holder.ts";
export { CONFIGURATION_KEY } from "./configuration_objects.ts";
export { ConfigurationProgress } from "./configuration_progress.ts";
export type {
  ConfigurationProgressStatus,
  StandingRefusal,
} from "./configuration_progress.ts";
export { ConfigurationPeers } from "./configuration_peers.ts";
export { ConfigurationReader } from "./configuration_reader.ts";
export {
  ConfigurationSource,
  StoredConfigurationSource,
} from "./configuration_source.ts";
export type { AcceptedHead } from "./configuration_source.ts";
export { createConfigurationError } from "./create_configuration_error.ts";
export { ConfigurationDistributor } from "./configuration_distributor.ts";
export type { ConfigurationDistributorOptions } from "./configuration_distributor.ts";
export type {
  ConfigurationState,
  VersionedState,
} from "./configuration_state.ts";
export {
  createConfigurationTransfer,
  readConfigurationTransfer,
} from "./configuration_transfer.ts";
export { ConfigurationWriter } from "./configuration_writer.ts";
export type {
  ConfigurationProposal,
  ConfigurationWriterOptions,
} from "./configuration_writer.ts";
export type { AcceptedState } from "./create_head.ts";
export { describeSchemaErrors } from "./describe_schema_errors.ts";
export { applyDocumentPatch, createDocumentPatch } from "./document_patch.ts";
export type { DocumentPatch } from "./document_patch.ts";
export type { MissingConfiguration } from "./missing_configuration.ts";
export type { VersionNotice } from "./peer_versions.ts";
export type { RefusedVersion } from "./refused_version.ts";
export type { RefusedVersionNotice } from "./refused_version_notice.ts";
export {
  findQuestionableEntries,
  QUESTIONABLE,
} from "./find_questionable_entries.ts";
export type { QuestionableEntry } from "./find_questionable_entries.ts";
export { MAX_DEADLINE_MS } from "./find_blocking_errors.ts";
export { findRequest } from "./find_request.ts";
export type { CallTarget } from "./find_request.ts";
export { findRoute } from "./find_route.ts";
export type { RouteTarget } from "./find_route.ts";
export { normalizeHost } from "./normalize_host.ts";
export {
  listReadingWarnings,
  readConfigurationDocument,
} from "./read_configuration_document.ts";
export { REFUSAL_REASONS } from "./refusal_reasons.ts";
export type { ConfigurationFinding, RefusalReason } from "./refusal_reasons.ts";
export { validateConfigurationDocument } from "./validate_configuration_document.ts";
