// Package records keeps a router's failure records, writes them to the object
// API, replicates them to other routers while it is unavailable, and builds the
// morning report. LocalRecords, PeerCopies, Merge and BuildReport are pure; Recorder
// and Read do the I/O.
package records
