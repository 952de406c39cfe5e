// The parts of undici that the daemon uses. The package's entry point loads all of
// its APIs, which takes a third of the daemon's startup time.
const Dispatcher = require(
  "../../node_modules/undici/lib/dispatcher/dispatcher.js",
);
const { request } = require("../../node_modules/undici/lib/api/index.js");

// The package's entry point does the same for all API methods.
Object.assign(Dispatcher.prototype, { request });

exports.Client = require("../../node_modules/undici/lib/dispatcher/client.js");
exports.Pool = require("../../node_modules/undici/lib/dispatcher/pool.js");
exports.buildConnector = require(
  "../../node_modules/undici/lib/core/connect.js",
);
