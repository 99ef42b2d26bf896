package cluster

// Address returns the peer address of a router, or "" if it is not known.
func (c *Cluster) Address(id string) string {
	if address, ok := c.owners.Load().addresses[id]; ok {
		return address
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Address(id)
}

// NeverHadPeers reports whether this router has had no contact with another router
// since New was called.
func (c *Cluster) NeverHadPeers() bool {
	return c.lastContact.Load() == 0
}
