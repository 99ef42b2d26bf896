package balance

import "time"

const (
	// scoreWeight is the weight of one outcome in an endpoint's score: about six
	// failures in a row, or half of a dozen outcomes, bring it over greyScore.
	scoreWeight = 0.15
	// greyScore is the share of failures from which an endpoint may be grey, and
	// greyFactor the multiple of its service's mean that it must exceed besides: when
	// all fail alike, none is better than the others.
	greyScore  = 0.3
	greyFactor = 1.5
	// probeInterval is the time between two requests that a grey endpoint gets, so
	// that it can earn its return; requests that may not run again are risked less
	// often.
	probeInterval     = time.Second
	onceProbeInterval = 4 * time.Second
)

// outcome enters how a request ended into the endpoint's score.
func (s *State) outcome(failed bool) {
	s.score *= 1 - scoreWeight
	if failed {
		s.score += scoreWeight
	}
}

// Erred says that the endpoint answered with a failure of its own, or not at all in
// the time that it had. It stays in use unless it does so much more often than the
// other endpoints of its service.
func (s *State) Erred() { s.outcome(true) }

// grey reports whether the endpoint fails much more often than its service's mean and
// has had its request lately.
func (s *State) grey(now time.Time, ask Ask, mean float64) bool {
	if s.score < greyScore || s.score < greyFactor*mean {
		return false
	}
	interval := onceProbeInterval
	if ask.Repeatable {
		interval = probeInterval
	}
	return now.Sub(s.sentAt) < interval
}
