// Package records keeps a router's failure records, writes them to the object
// API, and builds the morning report, in which operators read what failed at night.
// While a record cannot be written, its router, the origin, hands it over: it sends
// copies to two peers, which write the record if the origin does not. LocalRecords,
// PeerCopies, Merge and BuildReport do no I/O; Recorder and Read do.
package records
