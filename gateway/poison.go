package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/poison"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

// This file refuses requests whose prompts crash endpoints. Package poison decides which.

// recordExit records the exit of an endpoint while these requests were there. Callers hold g.mu.
func (g *Gateway) recordExit(now time.Time, endpoint *roster.Endpoint, requests []brokenRequest) {
	var prompts [][]uint64
	for _, request := range requests {
		if request.answered < poison.SettledTime {
			prompts = append(prompts, request.parts)
		}
	}
	g.poison.RecordExit(now, xxhash.Sum64String(endpoint.Service), endpoint.Start(), prompts)
	g.logQuarantines()
}

// recordAnswer records, once for each attempt, that the endpoint bears the request.
func (x *exchange) recordAnswer() {
	if x.answerRecorded || !x.route.CachesPrompts {
		return
	}
	x.answerRecorded = true
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.poison.RecordAnswer(time.Now(), xxhash.Sum64String(x.service), x.request.SharedParts())
	x.g.logQuarantines()
}

// suspected reports whether the request may be the one that made its endpoint exit, so that it is
// not sent to another one.
func (x *exchange) suspected() bool {
	if !x.route.CachesPrompts {
		return false
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.g.poison.Suspected(time.Now(), x.request.SharedParts())
}

// admitPrompt reports whether no part of the prompt is quarantined, or the request is a probe of
// those that are. Otherwise it refuses the request.
func (x *exchange) admitPrompt() bool {
	if !x.route.CachesPrompts {
		return true
	}
	rank := 0
	if x.g.config.RelayRank != nil {
		rank = x.g.config.RelayRank()
	}
	x.g.mu.Lock()
	admission := x.g.poison.Admit(x.arrived, x.request.SharedParts(), rank)
	x.g.mu.Unlock()
	if admission.Refused {
		x.refuse(http.StatusServiceUnavailable, api.RefusalPromptQuarantined, admission.Until.Sub(x.arrived))
		return false
	}
	if admission.Probe {
		x.probe = true
		x.g.metrics.Counter("prompts.probes").Inc(1)
		x.log("probe of a quarantined prompt part", string(api.RefusalPromptQuarantined), zap.String("part", strconv.FormatUint(admission.Part, 16)))
	}
	return true
}

// cancelUnsentProbe lets another request be the probe that this one was to be, if it was not sent.
func (x *exchange) cancelUnsentProbe() {
	if !x.probe || x.sends > 0 {
		return
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.poison.CancelProbe(x.request.SharedParts(), x.arrived)
}

// PoisonReport returns what this router has to tell the relays about exits of endpoints and
// quarantines, or nil.
func (g *Gateway) PoisonReport() *poison.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.poison.TakeReport(time.Now())
}

// PoisonAnnouncement returns the quarantines that this router announces as a relay, or nil.
func (g *Gateway) PoisonAnnouncement() *poison.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	announcement := g.poison.Announcement(time.Now())
	g.logQuarantines()
	return announcement
}

// ReceivePoison records the report of a router, or the announcement of a relay.
func (g *Gateway) ReceivePoison(report *poison.Report, announcement bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.poison.Receive(time.Now(), report, announcement)
	g.logQuarantines()
}

// Quarantines returns the quarantines that are confirmed and were not contradicted in time.
func (g *Gateway) Quarantines() []poison.Quarantine {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.poison.Active(time.Now())
}

// logQuarantines logs the quarantines that began, were confirmed or were lifted. Callers hold g.mu.
func (g *Gateway) logQuarantines() {
	for _, change := range g.poison.TakeChanges() {
		part := strconv.FormatUint(change.Part, 16)
		if change.Confirmed {
			g.logger.Warn("quarantine of a prompt part confirmed", zap.String("part", part), zap.Int("returns", change.Returns), zap.Time("until", change.Until))
			continue
		}
		if change.Lifted {
			g.metrics.Counter("prompts.released").Inc(1)
			g.logger.Warn("quarantine of a prompt part lifted by an answer", zap.String("part", part))
			continue
		}
		g.config.Reporter.PromptQuarantined(part, change.Until)
		g.metrics.Counter("prompts.quarantined").Inc(1)
		g.logger.Warn("prompt part quarantined", zap.String("part", part), zap.Int("exits", change.Exits), zap.Int("returns", change.Returns), zap.Time("until", change.Until))
	}
}
