package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// rateMargin is added to the old version's rate of failed or slow answers for the null
	// hypothesis that the target is no worse.
	rateMargin = 0.02
	// maxP is the largest probability of the counts under the null hypothesis at which the
	// target is bad.
	maxP = 0.001
	// recentMaxP is the same for the recent answers, which are tested as well.
	recentMaxP = maxP / 4
	// suspectP is the probability, with the old version's rate itself as null hypothesis, under
	// which the share does not rise, from suspectBad bad answers on. likelyP is the one, with
	// rateMargin, at which the target is rolled back near the deadline.
	suspectP   = 0.1
	suspectBad = 2
	likelyP    = 0.01
	likelyBad  = 3
	// pairP is the probability, instead of maxP, for the better one of two endpoints, when both
	// together are over maxP.
	pairP = 0.01
	// minFailures and minSlow are the failed and slow answers that a roll-back needs, half of them
	// without the worst endpoint.
	minFailures = 6
	minSlow     = 12
	// minOldRecent is the number of recent answers of the old version from which its recent
	// rate is known; below it recentMargin is added to the rate instead of rateMargin.
	minOldRecent = 50
	recentMargin = 0.1
	// The rate of the old version is estimated as if priorAnswers more answers with
	// priorBad bad ones had been seen, because it may have few.
	priorBad, priorAnswers = 0.5, 10
	// minOldTimes is the number of timed answers of the old version from which its 95th
	// percentile is known.
	minOldTimes = 20
	// slowPercentile is the part of the old version's answers in the buckets that are not slow.
	slowPercentile = 0.95
	// slowFactor is the binary logarithm of the factor by which the mean time of the target must
	// exceed that of the old version, with slowDeviations standard deviations (p = 0.0005).
	slowFactor     = 1
	slowDeviations = 3.29
	// minVariance is the least variance of the logarithm, for answers that are all in one bucket.
	minVariance = 0.25
	// minOutlier is the number of target endpoints from which on one of them may be faulty without
	// condemning the version.
	minOutlier = 3
	// minTried is the number of recent answers from which on an endpoint shows whether it fails: 0.4
	// failures of an answer give none of 8 in 2 of 100 cases.
	minTried = 8
	// worstDeviations is the confidence of the lower bound by which the worst endpoint is found.
	worstDeviations = 1.64
)

// sample is a number of answers and the bad ones of them.
type sample struct{ answers, bad float64 }

func (s sample) minus(o sample) sample {
	return sample{max(0, s.answers-o.answers), max(0, s.bad-o.bad)}
}

// rate estimates the rate of bad answers.
func (s sample) rate() float64 { return (s.bad + priorBad) / (s.answers + priorAnswers) }

// lowerBound returns the lower bound of Wilson's confidence interval of the rate.
func (s sample) lowerBound() float64 {
	if s.answers == 0 {
		return 0
	}
	const z = worstDeviations
	p, n := s.bad/s.answers, s.answers
	return (p + z*z/(2*n) - z*math.Sqrt(p*(1-p)/n+z*z/(4*n*n))) / (1 + z*z/n)
}

// tail returns the probability of at least bad of n answers if each is bad with probability p.
func tail(bad, n int, p float64) float64 {
	switch {
	case bad <= 0 || p >= 1:
		return 1
	case bad > n:
		return 0
	}
	logGamma := func(x int) float64 { v, _ := math.Lgamma(float64(x)); return v }
	term := math.Exp(logGamma(n+1) - logGamma(bad+1) - logGamma(n-bad+1) +
		float64(bad)*math.Log(p) + float64(n-bad)*math.Log1p(-p))
	if float64(bad) < float64(n)*p {
		return 1 // below the mean: no evidence, and many terms
	}
	sum := 0.0
	for k := bad; k <= n && term > sum*1e-9; k++ {
		sum += term
		term *= float64(n-k) / float64(k+1) * p / (1 - p)
	}
	return min(1, sum)
}

// measure counts the bad answers of a tally.
type measure func(Tally) sample

func failures(t Tally) sample { return sample{float64(t.Answers), float64(t.Failed)} }

func timed(t Tally) uint32 {
	n := uint32(0)
	for _, count := range t.Slow {
		n += count
	}
	return n
}

// slower returns the measure of answers above the old version's 95th percentile bucket + 1, and
// whether there is one.
func slower(old Tally) (measure, bool) {
	n, below := timed(old), uint32(0)
	for bucket, count := range old.Slow {
		below += count
		if n >= minOldTimes && float64(below) >= slowPercentile*float64(n) {
			return func(t Tally) sample {
				slow := uint32(0)
				for i := bucket + 2; i < len(t.Slow); i++ {
					slow += t.Slow[i]
				}
				return sample{float64(timed(t)), float64(slow)}
			}, bucket+2 < len(old.Slow)
		}
	}
	return nil, false
}

func total[K comparable](tallies map[K]Tally) Tally {
	var sum Tally
	for _, tally := range tallies {
		sum = sum.plus(tally)
	}
	return sum
}

// finding is the result of the test.
type finding struct {
	reason      string // of a roll-back, "" if the target is not bad
	kind        string // reason that the test looked for
	route       string // "" for all together
	suspect     bool   // the share must not rise
	likely      bool   // the target is rolled back near the deadline
	bad, oldBad sample // on the route; on all if route is ""
}

// worse returns the finding with the graver consequence, a if they are alike.
func worse(a, b finding) finding {
	if b.rank() > a.rank() {
		return b
	}
	return a
}

// rank orders findings by their consequence.
func (f finding) rank() int {
	switch {
	case f.reason != "":
		return 3
	case f.likely:
		return 2
	case f.suspect:
		return 1
	}
	return 0
}

// judge tests whether the target is bad.
func judge(c Counts) finding {
	result := judgeCounts(c, nil)
	if result.reason == "" && c.Recent != nil {
		return worse(result, judgeCounts(*c.Recent, &c))
	}
	return result
}

// judgeCounts tests the counts of the whole roll-out, or recent ones if whole is not nil.
func judgeCounts(c Counts, whole *Counts) finding {
	t := trial{counts: c, whole: whole}
	for _, key := range slices.Sorted(maps.Keys(c.Endpoints)) {
		if endpoint := c.Endpoints[key]; endpoint.Answers > 0 {
			t.endpoints = append(t.endpoints, endpoint)
		}
	}
	result := t.judge(ReasonFailures, minFailures, func(Tally) (measure, bool) { return failures, true })
	if result.reason != "" {
		return result
	}
	slow := t.judge(ReasonSlow, minSlow, slower)
	if slow.reason == "" && whole == nil && t.meanSlower() {
		slow.reason = ReasonSlow
	}
	return worse(result, slow)
}

// trial tests one set of counts.
type trial struct {
	counts    Counts
	endpoints []Tally // of the target, that answered
	whole     *Counts // of the whole roll-out, if counts are the recent ones
}

// judge tests a measure in total and, with Bonferroni's correction, on each route. newMeasure
// returns the measure for the old version's answers.
func (t *trial) judge(reason string, minBad int, newMeasure func(old Tally) (measure, bool)) finding {
	old := t.counts.Old
	if t.whole != nil {
		old = t.whole.Old // for the percentile
	}
	routes := slices.Sorted(maps.Keys(t.counts.Target))
	oldTotal, target := total(t.counts.Old), total(t.counts.Target)
	result := t.judgeRoute(reason, "", minBad, 1, target, oldTotal, total(old), newMeasure)
	if len(routes) < 2 {
		return result
	}
	for _, route := range routes {
		if result.reason != "" {
			break
		}
		one := t.judgeRoute(reason, route, minBad, len(routes), t.counts.Target[route], t.counts.Old[route], old[route], newMeasure)
		result = worse(result, one)
	}
	return result
}

// judgeRoute tests one of several routes, or all together.
func (t *trial) judgeRoute(reason, route string, minBad, routes int, target, old, reference Tally, newMeasure func(Tally) (measure, bool)) finding {
	of, known := newMeasure(reference)
	if !known {
		return finding{kind: reason}
	}
	seen, oldSeen := of(target), of(old)
	result := finding{kind: reason, route: route, bad: seen, oldBad: oldSeen}
	null := t.null(oldSeen, of(reference))
	limit := maxP
	if t.whole != nil {
		limit = recentMaxP
	}
	limit /= float64(routes)
	share := seen.answers / max(1, float64(total(t.counts.Target).Answers))
	if route == "" {
		share = 1
	}
	rest, others := t.withoutWorst(of, seen, share)
	result.suspect = rest.bad >= suspectBad && rest.p(oldSeen.rate()) < suspectP/float64(routes)
	result.likely = rest.bad >= likelyBad && rest.p(null) < likelyP/float64(routes)
	second, ofEndpoints := t.secondWorst(of, null), float64(len(t.endpoints))
	if route == "" && second.bad >= likelyBad {
		result.likely = result.likely || second.p(null) < likelyP/ofEndpoints
		result.suspect = result.suspect || result.likely
	}
	switch {
	case seen.bad < float64(minBad):
	case route == "" && 2*second.bad >= float64(minBad) && second.p(null) < limit/ofEndpoints:
		result.reason = reason
	case len(t.endpoints) == 2:
		if others && rest.bad >= 2 && rest.p(null) < pairP && seen.p(null) < limit {
			result.reason = reason
		}
	case others && 2*rest.bad >= float64(minBad) && rest.p(null) < limit:
		result.reason = reason
	}
	return result
}

func (s sample) p(null float64) float64 {
	return tail(int(math.Round(s.bad)), int(math.Round(s.answers)), null)
}

// null returns the rate of bad answers that a good version may have.
func (t *trial) null(old, reference sample) float64 {
	if t.whole == nil {
		return old.rate() + rateMargin
	}
	margin := rateMargin
	if old.answers < minOldRecent {
		margin = recentMargin
	}
	return max(old.rate(), reference.rate()) + margin
}

// withoutWorst leaves out the answers of the worst of several target endpoints, because one
// faulty endpoint does not show that the version is bad. On a route, whose answers are not
// counted by endpoint, it leaves out all its bad answers and the endpoint's share of the
// answers. others reports whether the bad answers of the rest come from enough endpoints.
func (t *trial) withoutWorst(of measure, seen sample, share float64) (rest sample, others bool) {
	if len(t.endpoints) < 2 {
		return seen, true
	}
	worst, found, withBad := sample{}, -1.0, 0
	for _, endpoint := range t.endpoints {
		s := of(endpoint)
		if s.bad > 0 {
			withBad++
		}
		if bound := s.lowerBound(); bound > found {
			worst, found = s, bound
		}
	}
	worst.answers = math.Round(worst.answers * share)
	rest = seen.minus(worst)
	rest.bad = min(rest.bad, rest.answers)
	return rest, withBad >= 2
}

// secondWorst returns the answers of the endpoint with the second lowest probability, none if
// there are fewer than three. If it alone fails the test, two endpoints are bad, however many good
// answers the others gave before the version turned bad.
func (t *trial) secondWorst(of measure, null float64) sample {
	if len(t.endpoints) < minOutlier {
		return sample{}
	}
	samples := make([]sample, len(t.endpoints))
	for i, endpoint := range t.endpoints {
		samples[i] = of(endpoint)
	}
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.p(null), b.p(null)) })
	return samples[1]
}

// oneEndpoint reports whether a single endpoint fails far more than the old version while fewer than
// two others have enough recent answers to show whether the version or the endpoint is bad.
func oneEndpoint(c Counts) bool {
	if c.Recent == nil || c.TargetEndpoints < minOutlier {
		return false
	}
	t := trial{counts: *c.Recent, whole: &c}
	null := t.null(failures(total(c.Recent.Old)), failures(total(c.Old)))
	failing, tried := 0, 0
	for _, endpoint := range c.Recent.Endpoints {
		s := failures(endpoint)
		switch {
		case s.bad >= likelyBad && s.p(null) < maxP:
			failing++
		case s.answers >= minTried:
			tried++
		}
	}
	return failing == 1 && tried < 2
}

// meanSlower reports whether the mean time of the target exceeds twice that of the old version,
// without its slowest endpoint.
func (t *trial) meanSlower() bool {
	old := logTimes(total(t.counts.Old))
	rest := total(t.counts.Target)
	if len(t.endpoints) > 1 {
		slowest := slices.MaxFunc(t.endpoints, func(a, b Tally) int {
			return cmp.Compare(logTimes(a).low(), logTimes(b).low())
		})
		rest = growthOf(slowest, rest)
	}
	target := logTimes(rest)
	if old.n < minOldTimes || target.n < minSlow {
		return false
	}
	deviation := math.Sqrt(old.variance/old.n + target.variance/target.n)
	return target.mean-old.mean-slowDeviations*deviation > slowFactor
}

// logStats describes the binary logarithms of times.
type logStats struct{ n, mean, variance float64 }

// low returns a lower bound of the mean.
func (s logStats) low() float64 {
	if s.n == 0 {
		return math.Inf(-1)
	}
	return s.mean - worstDeviations*math.Sqrt(s.variance/s.n)
}

func logTimes(t Tally) logStats {
	s := logStats{n: float64(timed(t))}
	if s.n == 0 {
		return s
	}
	s.mean = float64(t.LogTime)/logUnits/s.n - logOffset
	sum, squares := 0.0, 0.0
	for bucket, count := range t.Slow {
		sum += float64(bucket) * float64(count)
		squares += float64(bucket*bucket) * float64(count)
	}
	s.variance = max(minVariance, squares/s.n-(sum/s.n)*(sum/s.n))
	return s
}
