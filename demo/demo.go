// Package demo runs a short scenario with routers and test doubles of the other systems
// in one process, all on loopback, and checks that every guarantee held. In the scenario,
// callers have chats with model engines and place holds, i.e. reserve items in stock, at a
// plain service.
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

// ErrGuaranteeBroken means that a guarantee did not hold in the scenario.
var ErrGuaranteeBroken = errors.New("demo: a guarantee did not hold")

// Options of the scenario.
type Options struct {
	// Out receives the events of the scenario and the result of each check as text.
	Out io.Writer
	// Keep keeps the fleet running after the scenario until the context ends.
	Keep   bool
	Logger *zap.Logger
}

const (
	chatCount    = 12
	turnsPerChat = 4
	// withdrawDeadline is the time after which no new request may start in a withdrawn
	// zone. It counts from the acceptance of the release note that withdraws the zone.
	withdrawDeadline = 3 * time.Second
	// watchDuration is how long the scenario watches the zone for new requests once
	// withdrawDeadline has passed.
	watchDuration = 2 * time.Second
)

var zones = []string{"medeu", "bostandyk", "auezov"}

// scenario is the state of one run.
type scenario struct {
	out    io.Writer
	fleet  *localfleet.Fleet
	chats  []*chat
	failed bool
}

// Run runs the scenario. It returns ErrGuaranteeBroken if a guarantee did not hold, and
// another error if the scenario could not be run to its end.
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
	s.printLinef("Three routers (%v), six model engines, two replicas of a plain service and the platform run on loopback.", zones)
	if err := s.runParts(); err != nil {
		return err
	}
	if o.Keep {
		s.printCommands()
		<-ctx.Done()
	}
	if s.failed {
		return ErrGuaranteeBroken
	}
	s.printLinef("Every guarantee held.")
	return nil
}

func (s *scenario) runParts() error {
	if err := s.fleet.AcceptNote(s.fleet.Routers[0], s.fleet.Site.Note()); err != nil {
		return err
	}
	s.printLinef("The release note that adds the site is accepted.")
	if err := s.awaitRouters(); err != nil {
		return err
	}
	for _, part := range []func() error{
		s.checkReturningChats, s.checkEngineLoss, s.checkRepeatedHold, s.checkZoneWithdrawal, s.checkZoneReturn,
	} {
		if err := part(); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) printLinef(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\n", args...)
}

// check prints the result of a check and records a failure.
func (s *scenario) check(held bool, format string, args ...any) {
	mark := "ok    "
	if !held {
		mark = "BROKEN"
		s.failed = true
	}
	s.printLinef("  %s %s", mark, fmt.Sprintf(format, args...))
}

// awaitRouters waits until every router answers.
func (s *scenario) awaitRouters() error {
	deadline := time.Now().Add(localfleet.StartTimeout)
	for i, r := range s.fleet.Routers {
		probe := &chat{id: fmt.Sprintf("probe-%d", i), key: standin.WorkspaceKey(0)}
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

// checkReturningChats runs several turns of each chat, each through another router.
func (s *scenario) checkReturningChats() error {
	s.printLinef("\nChats return, each turn through another router:")
	for i := range chatCount {
		s.chats = append(s.chats, &chat{id: fmt.Sprintf("chat-%d", i), key: standin.WorkspaceKey(i % 2)})
	}
	complete := 0
	promptBefore, cachedBefore := s.cacheTotals()
	for turn := range turnsPerChat {
		if turn == 1 {
			promptBefore, cachedBefore = s.cacheTotals()
		}
		complete += s.runTurn(turn)
	}
	prompt, cached := s.cacheTotals()
	s.check(complete == chatCount*turnsPerChat, "%d of %d answers complete", complete, chatCount*turnsPerChat)
	s.printLinef("         %d of %d prompt tokens of returning chats came from a cache",
		cached-cachedBefore, prompt-promptBefore)
	return nil
}

// runTurn runs one turn of all chats concurrently and returns the number of complete
// answers.
func (s *scenario) runTurn(turn int) int {
	var waiting sync.WaitGroup
	results := make([]error, len(s.chats))
	for i, c := range s.chats {
		router := s.fleet.Routers[(i+turn)%len(s.fleet.Routers)]
		waiting.Go(func() {
			results[i] = sendTurn(s.fleet, c, router, fmt.Sprintf("Question %d about the hides, please in some detail.", turn), 30)
		})
	}
	waiting.Wait()
	complete := 0
	for i, err := range results {
		if err == nil {
			complete++
			continue
		}
		s.printLinef("         %s: %v", s.chats[i].id, err)
	}
	return complete
}

// cacheTotals returns the sums over the engines of all prompt tokens and of the cached
// ones.
func (s *scenario) cacheTotals() (prompt, cached int) {
	for _, engine := range s.fleet.Site.Engines {
		counters := engine.Counters()
		prompt += counters.PromptTokens
		cached += counters.CachedTokens
	}
	return prompt, cached
}

// checkEngineLoss kills an engine while it sends an answer.
func (s *scenario) checkEngineLoss() error {
	s.printLinef("\nAn engine is lost in the middle of an answer:")
	c := &chat{id: "long", key: standin.WorkspaceKey(0)}
	result := make(chan error, 1)
	go func() { result <- sendTurn(s.fleet, c, s.fleet.Routers[1], "A long answer, please.", 300) }()
	time.Sleep(200 * time.Millisecond)
	lost := s.busyEngine()
	if lost == nil {
		return errors.New("demo: no engine is busy")
	}
	lost.Kill()
	err := <-result
	s.check(err == nil, "%s was killed; the caller got the complete answer (%v)", lost.ID, errorText(err))
	return nil
}

func errorText(err error) string {
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

// checkRepeatedHold sends the same hold to all routers concurrently and repeats it
// afterwards.
func (s *scenario) checkRepeatedHold() error {
	s.printLinef("\nThe same hold is sent to all routers at once, and once more afterwards:")
	const key = "hold-0001"
	var waiting sync.WaitGroup
	results := make([]holdResult, len(s.fleet.Routers))
	errs := make([]error, len(s.fleet.Routers))
	for i, r := range s.fleet.Routers {
		waiting.Go(func() { results[i], errs[i] = sendHold(s.fleet, r, standin.WorkspaceKey(0), key) })
	}
	waiting.Wait()
	for i, r := range s.fleet.Routers {
		s.printLinef("         %s answered %d (%s)", r.ID, results[i].status, errorText(errs[i]))
	}
	again, err := s.holdUntilReplayed(key)
	if err != nil {
		return err
	}
	s.check(s.fleet.Site.RunsOfKey(key) == 1, "the hold ran %d time", s.fleet.Site.RunsOfKey(key))
	s.check(again.replayed, "the repeat got the recorded outcome: %d %s", again.status, again.body)
	return nil
}

// holdUntilReplayed repeats a hold until the router replays the recorded outcome, at most
// 40 times. The router may not have recorded the outcome of the first run yet.
func (s *scenario) holdUntilReplayed(key string) (holdResult, error) {
	var result holdResult
	var err error
	for range 40 {
		result, err = sendHold(s.fleet, s.fleet.Routers[0], standin.WorkspaceKey(0), key)
		if err != nil || result.replayed {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return result, err
}

// checkZoneWithdrawal withdraws an availability zone under load.
func (s *scenario) checkZoneWithdrawal() error {
	zone := zones[2]
	s.printLinef("\nThe availability zone %s is withdrawn while chats go on:", zone)
	stop := make(chan struct{})
	load := s.startLoad(stop)
	accepted := time.Now()
	note := api.Note{Title: "Withdraw " + zone, Author: "demo", Withdrawn: &api.NoteWithdrawals{Zones: []string{zone}}}
	if err := s.fleet.AcceptNote(s.fleet.Routers[0], note); err != nil {
		close(stop)
		<-load
		return err
	}
	time.Sleep(withdrawDeadline + watchDuration)
	close(stop)
	result := <-load
	late := s.fleet.Site.StartsAfter(zone, accepted.Add(withdrawDeadline))
	s.check(late == 0, "%d requests started in the zone later than %s after acceptance", late, withdrawDeadline)
	s.printLinef("         the last one started %s after acceptance", s.lastStart(zone).Sub(accepted).Round(time.Millisecond))
	s.check(result.failed == 0, "%d answers complete, %d not, during the withdrawal of the zone", result.complete, result.failed)
	return nil
}

// lastStart returns the time of the last start of a completion in a zone.
func (s *scenario) lastStart(zone string) time.Time {
	var last time.Time
	for _, engine := range s.fleet.Site.Engines {
		if engine.Zone != zone {
			continue
		}
		for _, start := range engine.CompletionStarts() {
			if start.At.After(last) {
				last = start.At
			}
		}
	}
	return last
}

// checkZoneReturn adds the zone again and waits until a completion starts there.
func (s *scenario) checkZoneReturn() error {
	zone := zones[2]
	s.printLinef("\nThe zone comes back:")
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
	s.check(result.failed == 0, "%d answers complete, %d not, during the return of the zone", result.complete, result.failed)
	return nil
}

// loadResult counts the complete and the failed answers of startLoad.
type loadResult struct {
	complete, failed int
}

// startLoad runs turn after turn, each in all chats concurrently, until stop is closed. It
// then sends the result on the returned channel.
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
			complete := s.runTurn(turn)
			result.complete += complete
			result.failed += len(s.chats) - complete
		}
	}()
	return done
}

// printCommands prints example commands for the running fleet.
func (s *scenario) printCommands() {
	r := s.fleet.Routers[0]
	s.printLinef("\nThe fleet keeps running until Ctrl-C. To try:")
	s.printLinef("  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'",
		r.CallersURL, standin.WorkspaceKey(0), standin.SiteModel)
	s.printLinef("  curl %s/services/%s/holds -H 'Authorization: Bearer %s' -H 'Idempotency-Key: k1' -d '{\"item\":\"goatskin\",\"quantity\":1}'",
		r.CallersURL, standin.SiteService, standin.WorkspaceKey(0))
	s.printLinef("  curl %s/state -H 'Authorization: Bearer %s'", r.AdminURL, standin.SiteAdminToken)
}
