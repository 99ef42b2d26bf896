package config

// SharesRoom reports whether requests beyond the room of a service wait at the router.
func (s *EdgeSettings) SharesRoom() bool {
	return s.Demand.SharedRoom == Always || s.Demand.SharedRoom == Auto && s.HasFeature(FeaturePressure)
}

const (
	// controlMB is the memory for control and the runtime, in MB. requestFraction is the part of the
	// rest that requests may use, and queueFraction the part of this for requests that wait.
	controlMB       = 48
	requestFraction = 0.6
	queueFraction   = 0.1
	// minQueueBytes is the least memory for requests that wait.
	minQueueBytes = 1 << 20
)

// QueueBytes returns the memory for requests that wait for room, in bytes; 0, no limit, if the
// router's memory is not set.
func (s *EdgeSettings) QueueBytes() int64 {
	if s.Router.MemoryMB <= 0 {
		return 0
	}
	return max(minQueueBytes, int64(float64(s.Router.MemoryMB-controlMB)*(1<<20)*requestFraction*queueFraction))
}
