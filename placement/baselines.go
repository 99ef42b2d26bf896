package placement

import "sync/atomic"

// Modulo places a chat by its key modulo the number of endpoints. It is a
// baseline: most chats move when an endpoint joins or leaves.
type Modulo struct{}

// Rank implements Policy.
func (Modulo) Rank(dst []int, key uint64, endpoints []Endpoint, limit int) []int {
	if len(endpoints) == 0 {
		return dst
	}
	return rotate(dst, int(key%uint64(len(endpoints))), len(endpoints), limit)
}

// RoundRobin places each request at the next endpoint. It is a baseline that
// ignores where a chat's cache is.
type RoundRobin struct {
	next atomic.Uint64
}

// Rank implements Policy.
func (r *RoundRobin) Rank(dst []int, _ uint64, endpoints []Endpoint, limit int) []int {
	if len(endpoints) == 0 {
		return dst
	}
	start := int((r.next.Add(1) - 1) % uint64(len(endpoints)))
	return rotate(dst, start, len(endpoints), limit)
}

// LeastLoaded places each request at the endpoint with the lowest reported
// load. It is a baseline: while reports are stale, requests concentrate on the same
// endpoint.
type LeastLoaded struct {
	// Load returns the newest reported load of the endpoint at an index of the
	// slice passed to Rank.
	Load func(index int) int
}

// Rank implements Policy. Ties are broken by the key, so that routers with the
// same reports do not all choose the first endpoint.
func (l LeastLoaded) Rank(dst []int, key uint64, endpoints []Endpoint, limit int) []int {
	limit = min(limit, maxRanked, len(endpoints))
	if limit <= 0 {
		return dst
	}
	var best top
	for i := range endpoints {
		tie := float64(mix(key^endpoints[i].hash)>>11) / (1 << 53)
		best.insert(ranked{index: i, score: tie - float64(l.Load(i))}, limit)
	}
	return best.appendTo(dst, limit)
}

// rotate appends to dst up to limit of the indexes 0 to count-1, from start on and
// wrapping around.
func rotate(dst []int, start, count, limit int) []int {
	for i := range min(limit, count) {
		dst = append(dst, (start+i)%count)
	}
	return dst
}
