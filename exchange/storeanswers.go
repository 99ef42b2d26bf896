package exchange

import (
	"math"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/outage"
)

// storeAnswers is an outage.Answers with ages in milliseconds in place of times, since the clocks
// of routers differ. Ages over a minute are sent as about a minute: the grace for an outage before
// that is over.
type storeAnswers struct {
	_           struct{} `cbor:",toarray"`
	SinceMS     uint16
	UntilMS     uint16
	AfterOutage bool
}

// ageMS returns the time since at in milliseconds, at most longest.
func ageMS(now, at time.Time, longest int64) int64 {
	return min(max(0, now.Sub(at).Milliseconds()), longest)
}

func timeOfAge(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// storeAnswers returns what this router reports of the store's answers, nil for nothing.
func (e *Exchange) storeAnswers(now time.Time, relay bool) *storeAnswers {
	report, ok := e.config.Outages.Report(now, relay)
	if !ok {
		return nil
	}
	return &storeAnswers{
		SinceMS:     uint16(ageMS(now, report.Since, math.MaxUint16)),
		UntilMS:     uint16(ageMS(now, report.Until, math.MaxUint16)),
		AfterOutage: report.AfterOutage,
	}
}

// receiveStoreAnswers passes on what a router says of the store's answers. Relays of earlier
// versions say it only by their heads. It comes before what else the message has, which may depend
// on whether there was an outage.
func (e *Exchange) receiveStoreAnswers(now time.Time, m message) {
	if a := m.StoreAnswers; a != nil {
		e.config.Outages.Receive(outage.Answers{
			Since: timeOfAge(now, uint32(a.SinceMS)), Until: timeOfAge(now, uint32(a.UntilMS)), AfterOutage: a.AfterOutage,
		}, !m.Relay)
		return
	}
	for _, head := range m.Heads {
		if !head.Fresh {
			continue
		}
		answeredAt := timeOfAge(now, head.AgeMS)
		e.config.Outages.Receive(outage.Answers{Since: answeredAt, Until: answeredAt}, false)
	}
}
