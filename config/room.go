package config

// SharesRoom reports whether requests beyond the room of a service wait at the router.
func (s *EdgeSettings) SharesRoom() bool {
	return s.Demand.SharedRoom == Always || s.Demand.SharedRoom == Auto && s.HasFeature(FeaturePressure)
}
