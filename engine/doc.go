// Package engine is the HTTP client of endpoints, model engines and plain services
// alike: streamed and non-streamed chat completions, calls of plain services, load
// reports, cache events, orders and KV cache transfer.
package engine
