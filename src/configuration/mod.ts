/**
 * The protected call graph: validation, compilation, writing and spread.
 */

export { canonicalizeNamedLists } from "./canonicalize_named_lists.ts";
export type {
  CompiledConfiguration,
  CompiledRequest,
} from "./compiled_configuration.ts";
export { compileConfiguration } from "./compile_configuration.ts";
export { ConfigurationHistory } from "./configuration_history.ts";
export { ConfigurationHolder } from "./configuration_holder.ts";
export { CONFIGURATION_KEY } from "./configuration_objects.ts";
export { ConfigurationPeers } from "./configuration_peers.ts";
export { ConfigurationReader } from "./configuration_reader.ts";
export {
  ConfigurationSource,
  StoredConfigurationSource,
} from "./configuration_source.ts";
export type { SourcedHead } from "./configuration_source.ts";
export { ConfigurationSpread } from "./configuration_spread.ts";
export type { ConfigurationSpreadOptions } from "./configuration_spread.ts";
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
export { describeSchemaFindings } from "./describe_schema_findings.ts";
export { applyDocumentPatch, createDocumentPatch } from "./document_patch.ts";
export type { DocumentPatch } from "./document_patch.ts";
export type { VersionNotice } from "./peer_versions.ts";
export { findRequest } from "./find_request.ts";
export type { CallTarget } from "./find_request.ts";
export { findRoute } from "./find_route.ts";
export type { RouteTarget } from "./find_route.ts";
export { validateConfigurationDocument } from "./validate_configuration_document.ts";
