// Package orders reconciles the endpoints with the desired state of the fleet: it
// compares the load reports of the endpoints with that state and sends them orders to
// load and unload models, versions and adapters. Only the holder of the control lease
// sends orders. Plan and Progress do no I/O; Controller does the holder's I/O.
//
// An endpoint gets at most one order at a time, and the next one only after its
// report shows the effect of the last. The sequence is load_model, load_version,
// load_adapter, unload_adapter, unload_model, each only for what the report lacks
// or has in excess. A version change is one load_version: it replaces the weights
// in place, so nothing is unloaded first. Adapters that the endpoint drops with
// the old weights are then missing from its report and are loaded again. Loads come
// before unloads, so that an endpoint never serves less if an order fails.
// Withdrawn models and adapters are neither loaded nor unloaded, because requests on
// them may still be draining; they are unloaded when a note removes them from the
// endpoint. set_role is not used, because release notes specify no roles.
//
// Orders are assumed to arrive, if at all, at most Limits.OrderTimeout after sending
// has ended. If one arrives later, the next comparison of the reports corrects its
// effect, but until then more capacity may be missing than Limits.MaxMissingFraction
// allows.
package orders
