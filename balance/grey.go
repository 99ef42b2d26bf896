package balance

import "time"

const (
	// failureRateWeight is the weight of the newest outcome in the moving average of
	// an endpoint's failure rate. Three consecutive failures bring the rate from 0 over
	// greyFailureRate, and so do three failures that alternate with two successes.
	failureRateWeight = 0.15
	// An endpoint is grey (partially failed: it accepts connections but fails many
	// requests) when its failure rate reaches both greyFailureRate and greyMeanFactor
	// times the mean of its service. The second condition keeps all endpoints in use
	// when all fail alike, since then none is better than the others.
	greyFailureRate = 0.3
	greyMeanFactor  = 1.5
	// A grey endpoint still gets single requests, so that its failure rate can fall
	// again. It gets a repeatable one when no request has been sent to it for
	// greyProbeInterval. It gets one that may not run again only when no request has
	// been sent to it for unrepeatableProbeInterval. This time is longer because such a
	// request is lost if it fails.
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

// RecordError records that the endpoint answered with an error, or did not answer before
// the request's deadline. The endpoint is not ejected; it is held back only when it
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
