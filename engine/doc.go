// Package engine is the HTTP client for endpoints, which are model engines or replicas
// of plain services: streamed and non-streamed chat completions, calls of plain
// services, load reports, cache events, orders and KV cache transfer.
//
// A chat key identifies a chat in requests, cache events and KV cache transfers; it is
// written in hex. An order makes an engine load or unload a model or an adapter. Its
// fencing number rises with each new sender of orders, so that an engine can refuse
// orders of a former sender.
package engine
