package exchange

import (
	"maps"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/room"
)

// Guards against a report of demand that exceeds 100 bytes, whatever a router has counted, and
// against a datagram that ends a router or fills its memory.
func TestDemandEncoding(t *testing.T) {
	demands := Demands{}
	for key := range uint32(6) {
		workspaces := map[uint16]int{}
		for w := range uint16(300) {
			workspaces[w] = 1_000_000 + int(w)
		}
		demands[key] = room.Demand{Routers: 350, Total: math.MaxInt32, Workspaces: workspaces}
	}
	encoded := encodeDemands(demands)
	assert.Assert(t, len(encoded) < 100, "%d bytes", len(encoded))
	datagram, err := cbor.Marshal(&message{Router: "router-0123456789", Demand: encoded})
	assert.NilError(t, err)
	t.Logf("%d bytes in a datagram of %d", len(encoded), len(datagram))
	decoded, err := decodeDemands(encoded)
	assert.NilError(t, err)
	assert.Equal(t, len(decoded), maxDemandServices)
	assert.Equal(t, decoded[0].Routers, 350)
	assert.Equal(t, decoded[0].Workspaces[299], math.MaxUint16)
	for i := range encoded {
		_, _ = decodeDemands(encoded[:i])
		_, _ = decodeDemands(encoded[i:])
	}
	assert.Assert(t, encodeDemands(nil) == nil)
}

// Guards against an earlier version that drops a message with demand, or reads it as loads.
func TestDemandIgnoredByEarlierVersion(t *testing.T) {
	encoded, err := cbor.Marshal(&message{Router: "a", Demand: []byte{1}, FleetDemand: []byte{2}})
	assert.NilError(t, err)
	var earlier struct {
		Router   string         `cbor:"1,keyasint"`
		Loads    map[string]int `cbor:"2,keyasint,omitempty"`
		HasLoads bool           `cbor:"3,keyasint,omitempty"`
		Leaving  []uint64       `cbor:"13,keyasint,omitempty"`
	}
	assert.NilError(t, cbor.Unmarshal(encoded, &earlier))
	assert.Equal(t, earlier.Router, "a")
	assert.Assert(t, !earlier.HasLoads)
	var current message
	assert.NilError(t, cbor.Unmarshal(encoded, &current))
	assert.DeepEqual(t, current.Demand, []byte{1})
}

// Guards against sums that leave out a router, that stay after the pressure has ended, or that are
// sent while there is none.
func TestDemandThroughRelays(t *testing.T) {
	for _, routers := range []int{maxDirectRouters + 3, 5} {
		fleet := newFleet(t, routers)
		key := room.ServiceKey("s")
		eventually(t, "a first relay", func() bool {
			_, first := fleet[0].RelayRole()
			for _, r := range fleet[1:] {
				_, is := r.RelayRole()
				first = first || is
			}
			return first
		})
		for _, r := range fleet[:3] {
			r.setDemand(Demands{key: {Routers: 1, Total: 10, Workspaces: map[uint16]int{7: 4}}})
		}
		eventually(t, "all know the sum", func() bool {
			for _, r := range fleet {
				got := r.fleetDemand()[key]
				if got.Routers != 3 || got.Total != 30 || got.Workspaces[7] != 12 {
					return false
				}
			}
			return true
		})
		if routers > maxDirectRouters {
			continue
		}
		for _, r := range fleet {
			r.setDemand(nil)
		}
		time.Sleep(reportTTL + 2*demandInterval)
		for _, r := range fleet {
			r.mu.Lock()
			r.fleetDemands = nil
			r.mu.Unlock()
		}
		time.Sleep(2 * demandInterval)
		for _, r := range fleet {
			assert.Equal(t, len(r.fleetDemand()), 0)
		}
	}
}

func (r *router) setDemand(demands Demands) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownDemands = demands
}

func (r *router) fleetDemand() Demands {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.fleetDemands)
}
