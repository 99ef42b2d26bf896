// Package routerlog summarizes the JSON lines that routers write: what was refused, failed or
// has an unknown outcome, and what happened to endpoints, the store and routers. It reads any
// number of files in one pass with bounded memory.
//
// Times are those of the routers' clocks, which may differ. Lines of one router keep their
// order; lines of different routers are ordered by time only.
package routerlog
