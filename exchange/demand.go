package exchange

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/room"
)

// A router reports to the relays, in fleets of any size, how many requests it got for a service
// whose room is full, by workspace. The first relay adds the reports up and sends the sums to all
// routers. Both messages are sent only while some service is full, and earlier versions ignore
// them. A sum says how many routers it covers, so that a relay that has heard only a part of them
// tells nothing wrong.

const (
	// demandInterval is the time between two reports, and between two sums.
	demandInterval = 500 * time.Millisecond
	// maxDemandServices bounds the services in a report or a sum; those with the most requests are
	// kept. With it a report or sum has under 100 bytes.
	maxDemandServices = 2
	// demandHeadBytes and demandEntryBytes are the sizes of the parts of an encoded demand.
	demandHeadBytes  = 11
	demandEntryBytes = 4
	// maxDemandEntries bounds the workspaces of an encoded demand that is received.
	maxDemandEntries = 16
)

// Demands are the requests of the last second for services whose room is full, by room.ServiceKey.
type Demands = map[uint32]room.Demand

// encodeDemands returns the encoding of the demands with the most requests: for each the key (32
// bits), the number of routers (16), the total (32), the number of workspaces (8), and for each
// workspace its hash and its requests (16 bits each). It returns nil for no demands.
func encodeDemands(demands Demands) []byte {
	keys := make([]uint32, 0, len(demands))
	for key := range demands {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(demands[b].Total, demands[a].Total), cmp.Compare(a, b))
	})
	var encoded []byte
	for _, key := range keys[:min(len(keys), maxDemandServices)] {
		demand := demands[key].Largest()
		encoded = binary.BigEndian.AppendUint32(encoded, key)
		encoded = binary.BigEndian.AppendUint16(encoded, limit16(demand.Routers))
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(min(max(demand.Total, 0), math.MaxInt32)))
		encoded = append(encoded, byte(len(demand.Workspaces)))
		for workspace, n := range demand.Workspaces {
			encoded = binary.BigEndian.AppendUint16(encoded, workspace)
			encoded = binary.BigEndian.AppendUint16(encoded, limit16(n))
		}
	}
	return encoded
}

func limit16(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// decodeDemands is the inverse of encodeDemands. It returns an error for an incomplete encoding.
func decodeDemands(encoded []byte) (Demands, error) {
	demands := Demands{}
	for len(encoded) > 0 {
		if len(encoded) < demandHeadBytes || len(demands) == maxDemandServices {
			return nil, fmt.Errorf("exchange: demand with %d bytes after %d services", len(encoded), len(demands))
		}
		key := binary.BigEndian.Uint32(encoded)
		demand := room.Demand{
			Routers: int(binary.BigEndian.Uint16(encoded[4:])),
			Total:   int(min(binary.BigEndian.Uint32(encoded[6:]), math.MaxInt32)), Workspaces: map[uint16]int{},
		}
		entries := int(encoded[10])
		encoded = encoded[demandHeadBytes:]
		if entries > maxDemandEntries || len(encoded) < entries*demandEntryBytes {
			return nil, fmt.Errorf("exchange: demand of %d workspaces in %d bytes", entries, len(encoded))
		}
		for ; entries > 0; entries-- {
			demand.Workspaces[binary.BigEndian.Uint16(encoded)] = int(binary.BigEndian.Uint16(encoded[2:]))
			encoded = encoded[demandEntryBytes:]
		}
		demands[key] = demand
	}
	return demands, nil
}

// sendDemand sends this router's demands to the relays and, from the first relay, the sums to all.
func (e *Exchange) sendDemand(now time.Time) {
	if e.config.Demands == nil || now.Sub(e.demandSentAt) < demandInterval-reportInterval/2 {
		return
	}
	e.demandSentAt = now
	own := e.config.Demands()
	report := encodeDemands(own)
	e.mu.Lock()
	var outgoing []outgoingMessage
	if len(report) > 0 {
		m := &message{Router: e.config.Router, Demand: report}
		for _, p := range e.collectors(now) {
			outgoing = append(outgoing, outgoingMessage{p.address, m})
		}
	}
	var sums Demands
	if e.rank == 0 {
		sums = e.sumDemands(now, own)
	}
	if encoded := encodeDemands(sums); len(encoded) > 0 {
		outgoing = append(outgoing, e.toAll(&message{Router: e.config.Router, FleetDemand: encoded})...)
	}
	e.mu.Unlock()
	e.send(outgoing)
	if len(sums) > 0 {
		e.config.ReceiveDemands(sums)
	}
}

// sumDemands returns the sums of the demands of this router and of all peers that have reported
// within reportTTL. Callers hold e.mu.
func (e *Exchange) sumDemands(now time.Time, own Demands) Demands {
	sums := Demands{}
	add := func(demands Demands) {
		for key, demand := range demands {
			sum := sums[key]
			sum.Add(demand)
			sums[key] = sum
		}
	}
	add(own)
	for _, p := range e.peers {
		if now.Sub(p.demandsAt) < reportTTL {
			add(p.demands)
		}
	}
	return sums
}

// receiveDemand records the report of a known peer, and passes the sums of the fleet on.
func (e *Exchange) receiveDemand(now time.Time, m message) {
	if e.config.ReceiveDemands == nil || len(m.Demand) == 0 && len(m.FleetDemand) == 0 {
		return
	}
	report, err := decodeDemands(m.Demand)
	sums, errSums := decodeDemands(m.FleetDemand)
	if err != nil || errSums != nil {
		e.config.Metrics.Counter("exchange.malformed").Inc(1)
		return
	}
	e.mu.Lock()
	if p, ok := e.peers[m.Router]; ok && len(report) > 0 {
		p.demands, p.demandsAt = report, now
	}
	e.mu.Unlock()
	if len(sums) > 0 {
		e.config.ReceiveDemands(sums)
	}
}
