package records

import (
	"github.com/hornbeamproxy/hornbeamproxy/placement"
)

// Peer is a live router that can hold copies.
type Peer struct {
	Router string
	Zone   string
}

// copyHolders is the number of peers that hold copies. With two, a copy remains
// if one of them crashes together with the origin.
const copyHolders = 2

// PickPeers returns the names of the peers that hold a router's copies, fewer than
// copyHolders if there are not enough live routers. It prefers peers in
// availability zones other than the router's own and each other's, and distributes
// the copies by rendezvous hashing. The choice changes only when a chosen peer
// leaves or one that ranks higher joins.
func PickPeers(self Peer, live []Peer) []string {
	var chosen []string
	used := map[string]bool{self.Zone: true}
	taken := map[string]bool{self.Router: true}
	for len(chosen) < copyHolders {
		next := pickPeer(self, live, taken, used)
		if next.Router == "" {
			next = pickPeer(self, live, taken, map[string]bool{self.Zone: true})
		}
		if next.Router == "" {
			next = pickPeer(self, live, taken, nil)
		}
		if next.Router == "" {
			return chosen
		}
		chosen = append(chosen, next.Router)
		taken[next.Router] = true
		used[next.Zone] = true
	}
	return chosen
}

func pickPeer(self Peer, live []Peer, taken, usedZones map[string]bool) Peer {
	var names []string
	byName := map[string]Peer{}
	for _, peer := range live {
		if !taken[peer.Router] && !usedZones[peer.Zone] {
			names = append(names, peer.Router)
			byName[peer.Router] = peer
		}
	}
	return byName[placement.Owner("records/"+self.Router, names)]
}
