// Package crowds holds tests of a router process under crowds of callers that nobody controls: large
// bodies, many header fields, requests sent ahead, and callers that send or read slowly or stop. They
// check that the process lives within its memory and descriptors and still answers. They run one at a
// time, apart from other load.
package crowds
