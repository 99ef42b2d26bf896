package rollout

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// ErrReport means that data is not an encoded report within the bounds.
var ErrReport = errors.New("invalid report of a roll-out")

const (
	reportFormat   = 1 // first byte of an encoded report
	shareUnits     = 1000
	maxOrderLength = 64 // bytes
)

// MarshalBinary encodes the report: numbers as varints, routes with both versions, endpoints with
// 4 bytes of hash. Routes and endpoints beyond the bounds are left out.
func (r Report) MarshalBinary() ([]byte, error) {
	out := append(make([]byte, 0, 256), reportFormat)
	out = appendString(out, r.Order[:min(len(r.Order), maxOrderLength)])
	for _, value := range []uint32{
		r.Seq, uint32(math.Round(r.Share * shareUnits)), r.TargetSent, r.OldSent, r.OldInFlight,
	} {
		out = binary.AppendUvarint(out, uint64(value))
	}
	routes := append([]string{""}, routeNames(r.Target, r.Old)...)
	routes = routes[:min(len(routes), MaxRoutes+1)]
	out = binary.AppendUvarint(out, uint64(len(routes)))
	for _, route := range routes {
		out = appendString(out, route[:min(len(route), maxRouteName)])
		out = r.Target[route].append(out)
		out = r.Old[route].append(out)
	}
	endpoints := slices.Sorted(maps.Keys(r.Endpoints))
	endpoints = endpoints[:min(len(endpoints), MaxEndpoints)]
	out = binary.AppendUvarint(out, uint64(len(endpoints)))
	for _, endpoint := range endpoints {
		out = binary.BigEndian.AppendUint32(out, endpoint)
		out = r.Endpoints[endpoint].append(out)
	}
	return out, nil
}

func appendString(out []byte, text string) []byte {
	return append(binary.AppendUvarint(out, uint64(len(text))), text...)
}

// append encodes a tally: the counts, a bit set of the buckets that are not empty, and these.
func (t Tally) append(out []byte) []byte {
	for _, value := range []uint32{t.Answers, t.Failed, t.LongGaps, t.LogTime} {
		out = binary.AppendUvarint(out, uint64(value))
	}
	var used byte
	for i, value := range t.Slow {
		if value > 0 {
			used |= 1 << i
		}
	}
	out = append(out, used)
	for _, value := range t.Slow {
		if value > 0 {
			out = binary.AppendUvarint(out, uint64(value))
		}
	}
	return out
}

// UnmarshalBinary decodes a report. It returns ErrReport if the data is not a report within the
// bounds.
func (r *Report) UnmarshalBinary(data []byte) error {
	d := decoder{data: data}
	if format := d.byte(); format != reportFormat {
		return fmt.Errorf("%w: format %d", ErrReport, format)
	}
	result := Report{
		Order: d.string(maxOrderLength), Seq: d.uint32(), Share: float64(d.uint32()) / shareUnits,
		TargetSent: d.uint32(), OldSent: d.uint32(), OldInFlight: d.uint32(),
		Target: map[string]Tally{}, Old: map[string]Tally{}, Endpoints: map[uint32]Tally{},
	}
	for range d.count(MaxRoutes + 1) {
		route := d.string(maxRouteName)
		d.tally(result.Target, route)
		d.tally(result.Old, route)
	}
	for range d.count(MaxEndpoints) {
		result.Endpoints[d.endpoint()] = d.readTally()
	}
	if d.failed || len(d.data) > 0 || result.Share > 1 {
		return fmt.Errorf("%w: %d bytes", ErrReport, len(data))
	}
	*r = result
	return nil
}

// decoder reads the parts of a report. After a part that is not valid all others are empty.
type decoder struct {
	data   []byte
	failed bool
}

func (d *decoder) take(n int) []byte {
	if d.failed || n > len(d.data) {
		d.failed, d.data = true, nil
		return make([]byte, min(n, 8))
	}
	part := d.data[:n]
	d.data = d.data[n:]
	return part
}

func (d *decoder) byte() byte { return d.take(1)[0] }

func (d *decoder) endpoint() uint32 { return binary.BigEndian.Uint32(d.take(4)) }

func (d *decoder) uint32() uint32 {
	value, n := binary.Uvarint(d.data)
	if n <= 0 || value > math.MaxUint32 {
		d.failed, d.data = true, nil
		return 0
	}
	d.data = d.data[n:]
	return uint32(value)
}

// count reads a number of parts, at most limit.
func (d *decoder) count(limit int) int {
	n := int(d.uint32())
	if n > limit {
		d.failed, d.data = true, nil
		return 0
	}
	return n
}

func (d *decoder) string(limit int) string { return string(d.take(d.count(limit))) }

// tally reads a tally; an empty one is not kept.
func (d *decoder) tally(tallies map[string]Tally, route string) {
	if tally := d.readTally(); tally != (Tally{}) {
		tallies[route] = tally
	}
}

func (d *decoder) readTally() Tally {
	t := Tally{Answers: d.uint32(), Failed: d.uint32(), LongGaps: d.uint32(), LogTime: d.uint32()}
	used := d.byte()
	for i := range t.Slow {
		if used&(1<<i) != 0 {
			t.Slow[i] = d.uint32()
		}
	}
	return t
}
