// Package engine is the HTTP client for endpoints, which are model engines or replicas
// of plain services: streamed and non-streamed chat completions, calls of plain
// services, load reports, cache events, orders and KV cache transfer.
package engine
