/**
 * The protected call graph: validation, compilation and spread.
 */

export type {
  CompiledConfiguration,
  CompiledRequest,
} from "./compiled_configuration.ts";
export { compileConfiguration } from "./compile_configuration.ts";
export { ConfigurationHolder } from "./configuration_holder.ts";
export { findRequest } from "./find_request.ts";
export type { CallTarget } from "./find_request.ts";
export { validateConfigurationDocument } from "./validate_configuration_document.ts";
export {
  CONFIGURATION_KEY,
  watchConfiguration,
} from "./watch_configuration.ts";
export type { WatchConfigurationOptions } from "./watch_configuration.ts";
