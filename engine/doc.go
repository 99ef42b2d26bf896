// Package engine holds the HTTP clients of endpoints: streamed and plain chat
// completions, calls of plain services, load reports, cache events, orders and
// KV cache transfer.
package engine
