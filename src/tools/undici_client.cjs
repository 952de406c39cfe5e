// The parts of undici that the daemon uses. The package's own entry loads every
// API it has, which takes a third of the daemon's start.
const Dispatcher = require(
  "../../node_modules/undici/lib/dispatcher/dispatcher.js",
);
const { request } = require("../../node_modules/undici/lib/api/index.js");

// As the package's entry does for all of its calls.
Object.assign(Dispatcher.prototype, { request });

exports.Client = require("../../node_modules/undici/lib/dispatcher/client.js");
exports.Pool = require("../../node_modules/undici/lib/dispatcher/pool.js");
exports.buildConnector = require(
  "../../node_modules/undici/lib/core/connect.js",
);
