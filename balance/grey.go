package balance

import "time"

const (
	// failureRateWeight is the weight of the newest outcome in the moving average of
	// an endpoint's failure rate. Three consecutive failures, or alternating failures
	// and successes over about six outcomes, bring a rate of 0 over greyFailureRate.
	failureRateWeight = 0.15
	// An endpoint is grey (partially failed: it accepts connections but fails many
	// requests) when its failure rate reaches both greyFailureRate and greyMeanFactor
	// times the mean of its service. The second condition keeps all endpoints in use
	// when all fail alike, since then none is better than the others.
	greyFailureRate = 0.3
	greyMeanFactor  = 1.5
	// greyProbeInterval is the time between two requests that a grey endpoint still
	// gets, so that its failure rate can fall again. The interval is longer for
	// requests that may not run again, since they are lost if they fail.
	greyProbeInterval         = time.Second
	unrepeatableProbeInterval = 4 * time.Second
)

// recordOutcome adds the outcome of a request to the endpoint's failure rate.
func (s *State) recordOutcome(failed bool) {
	s.failureRate *= 1 - failureRateWeight
	if failed {
		s.failureRate += failureRateWeight
	}
}

// RecordError records that the endpoint answered with an error of its own, or not
// within the time-out. The endpoint is not ejected; it is held back only when it
// becomes grey.
func (s *State) RecordError() { s.recordOutcome(true) }

// heldBack reports whether the endpoint is grey and has been sent a request within the
// probe interval. mean is the mean failure rate of the service's endpoints.
func (s *State) heldBack(now time.Time, criteria Criteria, mean float64) bool {
	if s.failureRate < greyFailureRate || s.failureRate < greyMeanFactor*mean {
		return false
	}
	interval := unrepeatableProbeInterval
	if criteria.Repeatable {
		interval = greyProbeInterval
	}
	return now.Sub(s.lastSentAt) < interval
}
