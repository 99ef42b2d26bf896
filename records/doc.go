// Package records keeps a router's failure records, writes them to the object
// API, holds copies for other routers while it is unavailable, and builds the
// morning report. Book, Held, the merge and Build are pure; Keeper and Read do
// the I/O.
package records
