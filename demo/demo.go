// Package demo plays a short scenario against routers and stand-ins in one
// process, all on loopback, and checks that every guarantee held.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/localfleet"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// ErrBroken says that a guarantee did not hold in the scenario.
var ErrBroken = errors.New("demo: a guarantee did not hold")

// Options of the scenario.
type Options struct {
	// Out receives the plain account of what happened.
	Out io.Writer
	// Keep leaves the fleet running after the scenario until the context ends.
	Keep   bool
	Logger *zap.Logger
}

const (
	chatCount    = 12
	turnsPerChat = 4
	// withdrawnAfter is the time after acceptance from which a withdrawn zone
	// must not receive new work.
	withdrawnAfter = 3 * time.Second
	// watchFor is how long the withdrawn zone is watched after that.
	watchFor = 2 * time.Second
)

var zones = []string{"medeu", "bostandyk", "auezov"}

// scenario is the state of one run.
type scenario struct {
	out    io.Writer
	fleet  *localfleet.Fleet
	chats  []*conversation
	broken bool
}

// Run plays the scenario. It returns ErrBroken if a guarantee did not hold.
func Run(ctx context.Context, o Options) (err error) {
	site := standin.NewSite(standin.SiteConfig{
		Zones:       zones,
		Engines:     6,
		Services:    2,
		Workspaces:  2,
		MaxInflight: 16,
		Engine:      standin.EngineConfig{TTFT: 30 * time.Millisecond, TokenInterval: 2 * time.Millisecond},
	})
	f, err := localfleet.Start(localfleet.Options{Site: site, Zones: zones, Logger: o.Logger})
	defer func() { err = errors.Join(err, f.Close()) }()
	if err != nil {
		return err
	}
	s := &scenario{out: o.Out, fleet: f}
	s.say("Three routers (%v), six model engines, two replicas of a plain service and the platform run on loopback.", zones)
	if err := s.play(); err != nil {
		return err
	}
	if o.Keep {
		s.explain()
		<-ctx.Done()
	}
	if s.broken {
		return ErrBroken
	}
	s.say("Every guarantee held.")
	return nil
}

func (s *scenario) play() error {
	if err := s.fleet.AcceptNote(s.fleet.Routers[0], s.fleet.Site.Note()); err != nil {
		return err
	}
	s.say("The release note that adds the site is accepted.")
	if err := s.awaitService(); err != nil {
		return err
	}
	for _, part := range []func() error{
		s.returningChats, s.engineLost, s.repeatedHold, s.zoneWithdrawn, s.zoneReturns,
	} {
		if err := part(); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) say(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\n", args...)
}

// check prints the outcome of a guarantee.
func (s *scenario) check(held bool, format string, args ...any) {
	mark := "ok    "
	if !held {
		mark = "BROKEN"
		s.broken = true
	}
	s.say("  %s %s", mark, fmt.Sprintf(format, args...))
}

// awaitService waits until every router answers.
func (s *scenario) awaitService() error {
	deadline := time.Now().Add(localfleet.StartTimeout)
	for i, r := range s.fleet.Routers {
		probe := &conversation{id: fmt.Sprintf("probe-%d", i), key: standin.WorkspaceKey(0)}
		for {
			err := sendTurn(s.fleet, probe, r, "Are you there?", 1)
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not answer: %w", r.ID, err)
			}
			probe.messages = nil
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// returningChats lets chats come back through another router at each turn.
func (s *scenario) returningChats() error {
	s.say("\nChats return, each turn through another router:")
	for i := range chatCount {
		s.chats = append(s.chats, &conversation{id: fmt.Sprintf("chat-%d", i), key: standin.WorkspaceKey(i % 2)})
	}
	whole := 0
	promptBefore, cachedBefore := s.cacheTotals()
	for turn := range turnsPerChat {
		if turn == 1 {
			promptBefore, cachedBefore = s.cacheTotals()
		}
		whole += s.everyChat(turn)
	}
	prompt, cached := s.cacheTotals()
	s.check(whole == chatCount*turnsPerChat, "%d of %d answers whole", whole, chatCount*turnsPerChat)
	s.say("         %d of %d prompt tokens of returning chats came from a cache",
		cached-cachedBefore, prompt-promptBefore)
	return nil
}

// everyChat runs one turn of all chats at once and returns how many answers
// were whole.
func (s *scenario) everyChat(turn int) int {
	var waiting sync.WaitGroup
	results := make([]error, len(s.chats))
	for i, c := range s.chats {
		router := s.fleet.Routers[(i+turn)%len(s.fleet.Routers)]
		waiting.Go(func() {
			results[i] = sendTurn(s.fleet, c, router, fmt.Sprintf("Question %d about the hides, please in some detail.", turn), 30)
		})
	}
	waiting.Wait()
	whole := 0
	for i, err := range results {
		if err == nil {
			whole++
			continue
		}
		s.say("         %s: %v", s.chats[i].id, err)
	}
	return whole
}

func (s *scenario) cacheTotals() (prompt, cached int) {
	for _, engine := range s.fleet.Site.Engines {
		counters := engine.Counters()
		prompt += counters.PromptTokens
		cached += counters.CachedTokens
	}
	return prompt, cached
}

// engineLost kills an engine that is in the middle of an answer.
func (s *scenario) engineLost() error {
	s.say("\nAn engine is lost in the middle of an answer:")
	c := &conversation{id: "long", key: standin.WorkspaceKey(0)}
	result := make(chan error, 1)
	go func() { result <- sendTurn(s.fleet, c, s.fleet.Routers[1], "A long answer, please.", 300) }()
	time.Sleep(200 * time.Millisecond)
	lost := s.busyEngine()
	if lost == nil {
		return errors.New("demo: no engine is busy")
	}
	lost.Kill()
	err := <-result
	s.check(err == nil, "%s was killed; the caller got the whole answer (%v)", lost.ID, orNone(err))
	return nil
}

func orNone(err error) string {
	if err == nil {
		return "no error"
	}
	return err.Error()
}

func (s *scenario) busyEngine() *standin.SiteEngine {
	for _, engine := range s.fleet.Site.Engines {
		if engine.Running() > 0 {
			return engine
		}
	}
	return nil
}

// repeatedHold sends the same hold to all routers at once, and once more.
func (s *scenario) repeatedHold() error {
	s.say("\nThe same hold is sent to all routers at once, and once more afterwards:")
	const key = "hold-0001"
	var waiting sync.WaitGroup
	results := make([]holdResult, len(s.fleet.Routers))
	errs := make([]error, len(s.fleet.Routers))
	for i, r := range s.fleet.Routers {
		waiting.Go(func() { results[i], errs[i] = hold(s.fleet, r, standin.WorkspaceKey(0), key) })
	}
	waiting.Wait()
	for i, r := range s.fleet.Routers {
		s.say("         %s answered %d (%s)", r.ID, results[i].status, orNone(errs[i]))
	}
	again, err := s.holdUntilDone(key)
	if err != nil {
		return err
	}
	s.check(s.fleet.Site.RunsOfKey(key) == 1, "the hold ran %d time", s.fleet.Site.RunsOfKey(key))
	s.check(again.replayed, "the repeat got the recorded outcome: %d %s", again.status, again.body)
	return nil
}

// holdUntilDone repeats a hold while its first run is still being recorded.
func (s *scenario) holdUntilDone(key string) (holdResult, error) {
	var result holdResult
	var err error
	for range 40 {
		result, err = hold(s.fleet, s.fleet.Routers[0], standin.WorkspaceKey(0), key)
		if err != nil || result.replayed {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return result, err
}

// zoneWithdrawn takes an availability zone out under load.
func (s *scenario) zoneWithdrawn() error {
	zone := zones[2]
	s.say("\nThe availability zone %s is withdrawn while chats go on:", zone)
	stop := make(chan struct{})
	load := s.startLoad(stop)
	accepted := time.Now()
	note := api.Note{Title: "Withdraw " + zone, Author: "demo", Withdrawn: &api.NoteWithdrawals{Zones: []string{zone}}}
	if err := s.fleet.AcceptNote(s.fleet.Routers[0], note); err != nil {
		close(stop)
		<-load
		return err
	}
	time.Sleep(withdrawnAfter + watchFor)
	close(stop)
	result := <-load
	late := s.fleet.Site.StartsAfter(zone, accepted.Add(withdrawnAfter))
	s.check(late == 0, "%d requests started in the zone later than %s after acceptance", late, withdrawnAfter)
	s.say("         the last one started %s after acceptance", s.lastStart(zone).Sub(accepted).Round(time.Millisecond))
	s.check(result.failed == 0, "%d answers whole, %d not, while the zone left", result.whole, result.failed)
	return nil
}

func (s *scenario) lastStart(zone string) time.Time {
	var last time.Time
	for _, engine := range s.fleet.Site.Engines {
		if engine.Zone != zone {
			continue
		}
		for _, start := range engine.Starts() {
			if start.At.After(last) {
				last = start.At
			}
		}
	}
	return last
}

// zoneReturns brings the zone back and waits for work there.
func (s *scenario) zoneReturns() error {
	zone := zones[2]
	s.say("\nThe zone comes back:")
	accepted := time.Now()
	note := api.Note{
		Title:   "Bring " + zone + " back",
		Author:  "demo",
		Changed: &api.NoteParts{Zones: []api.Zone{{ID: zone, Region: "region-1"}}},
	}
	if err := s.fleet.AcceptNote(s.fleet.Routers[1], note); err != nil {
		return err
	}
	stop := make(chan struct{})
	load := s.startLoad(stop)
	for s.fleet.Site.StartsAfter(zone, accepted) == 0 && time.Since(accepted) < localfleet.StartTimeout {
		time.Sleep(50 * time.Millisecond)
	}
	close(stop)
	result := <-load
	started := s.fleet.Site.StartsAfter(zone, accepted)
	s.check(started > 0, "the zone serves again, %s after acceptance", s.lastStart(zone).Sub(accepted).Round(time.Millisecond))
	s.check(result.failed == 0, "%d answers whole, %d not, while the zone returned", result.whole, result.failed)
	return nil
}

// loadResult counts the answers of a load.
type loadResult struct {
	whole, failed int
}

// startLoad lets all chats talk in turn until stop is closed.
func (s *scenario) startLoad(stop <-chan struct{}) <-chan loadResult {
	done := make(chan loadResult, 1)
	go func() {
		var result loadResult
		for turn := 0; ; turn++ {
			select {
			case <-stop:
				done <- result
				return
			default:
			}
			whole := s.everyChat(turn)
			result.whole += whole
			result.failed += len(s.chats) - whole
		}
	}()
	return done
}

// explain prints commands to try against the running fleet.
func (s *scenario) explain() {
	r := s.fleet.Routers[0]
	s.say("\nThe fleet keeps running until Ctrl-C. To try:")
	s.say("  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'",
		r.CallersURL, standin.WorkspaceKey(0), standin.SiteModel)
	s.say("  curl %s/services/%s/holds -H 'Authorization: Bearer %s' -H 'Idempotency-Key: k1' -d '{\"item\":\"goatskin\",\"quantity\":1}'",
		r.CallersURL, standin.SiteService, standin.WorkspaceKey(0))
	s.say("  curl %s/state -H 'Authorization: Bearer %s'", r.AdminURL, standin.SiteAdminToken)
}
