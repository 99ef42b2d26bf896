package placement

// Rendezvous ranks endpoints by weighted rendezvous hashing. The endpoint with the
// highest score is the chat's home. The others follow, those in the home's
// availability zone first and each group by descending score, so that a chat that
// spills over stays close to its home. When an endpoint joins or leaves, only the
// chats that it gains or loses change their home.
type Rendezvous struct{}

// maxRanked is the capacity of the sorted buffers of Rank, and therefore the highest limit
// that has an effect.
const maxRanked = 16

type ranked struct {
	index int
	score float64
}

// top holds the best candidates by descending score.
type top struct {
	items [maxRanked]ranked
	count int
}

// insert adds the candidate if it is among the best limit ones.
func (t *top) insert(candidate ranked, limit int) {
	if t.count == limit {
		if candidate.score <= t.items[limit-1].score {
			return
		}
		t.count--
	}
	at := t.count
	for at > 0 && t.items[at-1].score < candidate.score {
		t.items[at] = t.items[at-1]
		at--
	}
	t.items[at] = candidate
	t.count++
}

// Rank implements Policy. A limit above 16 counts as 16. Rank takes time proportional
// to the number of endpoints and allocates only when dst has to grow.
func (Rendezvous) Rank(dst []int, key uint64, endpoints []Endpoint, limit int) []int {
	limit = min(limit, maxRanked, len(endpoints))
	if limit <= 0 {
		return dst
	}
	scorer := newScorer(key, endpoints)
	home := homeOf(scorer, endpoints)
	zone := endpoints[home].Zone
	var near, far top
	for i := range endpoints {
		if i == home {
			continue
		}
		candidate := ranked{index: i, score: scorer.score(&endpoints[i])}
		if endpoints[i].Zone == zone {
			near.insert(candidate, limit)
		} else {
			far.insert(candidate, limit)
		}
	}
	dst = append(dst, home)
	dst = near.appendTo(dst, limit-1)
	return far.appendTo(dst, limit-1-min(near.count, limit-1))
}

// homeOf returns the index of the endpoint with the highest score.
func homeOf(scorer scorer, endpoints []Endpoint) int {
	home := 0
	best := scorer.score(&endpoints[0])
	for i := 1; i < len(endpoints); i++ {
		if s := scorer.score(&endpoints[i]); s > best {
			home, best = i, s
		}
	}
	return home
}

// appendTo appends the indexes of the best candidates to dst, limit at most.
func (t *top) appendTo(dst []int, limit int) []int {
	for _, item := range t.items[:min(t.count, limit)] {
		dst = append(dst, item.index)
	}
	return dst
}

// Score returns the rendezvous score of an endpoint for the key, between 0 and 1, without
// regard to its weight. Among endpoints of equal weight, the one with the highest score is
// the key's home.
func Score(key uint64, e *Endpoint) float64 {
	return scorer{key: key, uniform: true}.score(e)
}
