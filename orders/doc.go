// Package orders reconciles what endpoints report with the desired state of the
// fleet. Plan and Progress are pure; Controller does the I/O of the holder of the
// control lease.
//
// An endpoint gets at most one order at a time, and the next one only after its
// report shows the effect of the last. The sequence is load_model, load_version,
// load_adapter, unload_adapter, unload_model, each only for what the report lacks
// or has too much. A version change is one load_version: it replaces the weights
// in place, so nothing is unloaded first. Adapters that the endpoint drops with
// the old weights show up as missing and are loaded again. Loads come before
// unloads, so that an endpoint never serves less than before an order fails.
// Withdrawn models and adapters are neither loaded nor unloaded, because work on
// them may still be draining; they are unloaded when a note takes them off the
// endpoint. set_role is not used, because release notes name no roles.
//
// An order reaches its endpoint, if at all, at most Limits.OrderTimeout after its
// sending ended. Delays beyond that are corrected, because the reports are
// compared again, but capacity may then be missing beyond the limit.
package orders
