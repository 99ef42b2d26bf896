// Package mirror keeps a local copy of the objects of one kind in the store. It
// lists them once and then learns what changes: a few routers, the relays, watch
// the store and pass the changes on; the others follow them, and watch the store
// themselves while no relay is in touch with it.
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

const (
	// firstPause and longestPause bound the time between calls that fail. An
	// outage must be found over well within the 2 s that bounds allow.
	firstPause   = 100 * time.Millisecond
	longestPause = 700 * time.Millisecond
	// followTick is the time between looks at what the relays announce.
	followTick = 250 * time.Millisecond
	// newsDelay is how long news that a relay has announced may take to arrive
	// before the router asks the store itself.
	newsDelay = 300 * time.Millisecond
	// catchUpWait is the wait of a watch for what has changed already.
	catchUpWait = time.Millisecond
	// firstPauseAfter and backupPauseAfter are the times between a change and the
	// next watch of the first relay and of the others, so that changes that come
	// together cost one call. The others mostly learn of them from the first.
	firstPauseAfter  = 50 * time.Millisecond
	backupPauseAfter = 400 * time.Millisecond
	// partialDelay is the time until a router asks the store for news that came
	// without their objects; it is spread up to twice as long, so that the
	// routers do not ask together and changes that come together cost one call.
	partialDelay = 100 * time.Millisecond
	// newsQueue bounds the news that wait; news beyond it are asked for again.
	newsQueue = 64
)

// News are the changes of a kind after one revision up to another.
type News struct {
	Kind     string
	From, To uint64 // revisions of the store
	Objects  []objectstore.Object
	// Partial news say that there are changes without bringing them.
	Partial bool
}

// Head is what a relay announces of a kind.
type Head struct {
	// Changed is the revision up to which the relay knows all changes.
	Changed uint64
	// Fresh says that the relay's last call was answered.
	Fresh bool
}

// Peers are the other routers. Implementations are safe for concurrent use.
type Peers interface {
	// Relay reports whether this router watches the store for the others, and
	// whether it is the first to pass on what it sees.
	Relay() (relay, first bool)
	// Head returns the newest revision that a fresh relay has announced; ok is
	// false if there is no such relay.
	Head(kind string) (changed uint64, ok bool)
	// Announce sets what this router announces.
	Announce(kind string, head Head)
	// Publish passes news on.
	Publish(news News)
}

// Receiver takes the changes of a mirror. All calls come from one goroutine.
type Receiver interface {
	// Replace is called with a complete list.
	Replace(objects []objectstore.Object)
	// Change is called for each object that changed or was deleted.
	Change(object objectstore.Object)
	// Lost is called for each call that the store does not answer, and Found when
	// it answers again.
	Lost(err error)
	Found()
}

// Config holds what a mirror needs.
type Config struct {
	Source objectstore.Source
	Kind   string
	// Wait is the longest time that one watch waits. A store that has lost its
	// history leaves watches waiting without their events; only the next watch
	// finds out.
	Wait time.Duration
	// ListToCatchUp is set for kinds with few large objects, of which only the
	// newest version counts: a list costs less than all changes.
	ListToCatchUp bool
	Receiver      Receiver
	Peers         Peers
	Logger        *zap.Logger
}

// Mirror is the local copy of one kind.
type Mirror struct {
	Config
	news chan News

	listed bool
	// relist is set after a failed watch. The next one would bring all that
	// changed meanwhile, which may take longer than a watch is given.
	relist   bool
	revision uint64 // of the store, up to which all is known
	changed  uint64 // of the newest list or batch of changes
	// versions are the newest versions seen, so that news and watches that
	// overtake each other never bring an older state back.
	versions map[string]uint64
	behind   time.Time // since when a relay has announced more than is known
	failures int
	since    time.Time // of the outage
}

// New returns a mirror that knows nothing.
func New(config Config) *Mirror {
	return &Mirror{Config: config, news: make(chan News, newsQueue), versions: map[string]uint64{}}
}

// Offer takes news from a relay. It does not block; news that do not fit are
// noticed as missing later.
func (m *Mirror) Offer(news News) {
	select {
	case m.news <- news:
	default:
	}
}

// Run mirrors the kind until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		var err error
		switch {
		case !m.listed:
			err = m.list(ctx)
		case m.follows():
			m.follow(ctx)
			continue
		case m.relist || m.ListToCatchUp && !m.behind.IsZero():
			err = m.list(ctx)
		default:
			err = m.watch(ctx)
		}
		if err != nil {
			m.failed(ctx, err)
			continue
		}
		m.answered()
	}
	return nil
}

// list reads all objects.
func (m *Mirror) list(ctx context.Context) error {
	objects, revision, err := m.Source.List(ctx, m.Kind, false)
	if err != nil {
		return err
	}
	m.listed, m.relist, m.revision, m.changed = true, false, revision, revision
	m.behind = time.Time{}
	clear(m.versions)
	for _, object := range objects {
		m.versions[object.Key] = object.Version
	}
	m.Receiver.Replace(objects)
	if relay, _ := m.Peers.Relay(); relay {
		m.Peers.Publish(News{Kind: m.Kind, To: revision, Partial: true})
	}
	return nil
}

// follows reports whether the router takes the changes from relays.
func (m *Mirror) follows() bool {
	if relay, _ := m.Peers.Relay(); relay {
		return false
	}
	changed, ok := m.Peers.Head(m.Kind)
	if !ok {
		return false
	}
	if changed <= m.revision {
		m.behind = time.Time{}
		return true
	}
	now := time.Now()
	if m.behind.IsZero() {
		m.behind = now
	}
	return now.Sub(m.behind) < newsDelay
}

// follow waits for news.
func (m *Mirror) follow(ctx context.Context) {
	m.Peers.Announce(m.Kind, Head{})
	timer := time.NewTimer(followTick)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case news := <-m.news:
		m.take(news)
	case <-timer.C:
	}
}

// take applies news that continue what is known, and notes those that do not.
func (m *Mirror) take(news News) {
	if !m.listed || news.To <= m.revision {
		return
	}
	if news.Partial || news.From > m.revision {
		soon := partialDelay + rand.N(partialDelay)
		if m.behind.IsZero() {
			m.behind = time.Now().Add(soon - newsDelay)
		}
		return
	}
	m.apply(news.Objects)
	m.revision, m.changed = news.To, news.To
	m.behind = time.Time{}
}

type watched struct {
	objects  []objectstore.Object
	revision uint64
	err      error
}

// watch asks the store for changes and takes news while it waits.
func (m *Mirror) watch(ctx context.Context) error {
	wait := m.Wait
	if !m.behind.IsZero() {
		wait = catchUpWait
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := m.revision
	result := make(chan watched, 1)
	go func() {
		objects, revision, err := m.Source.Watch(ctx, m.Kind, asked, wait)
		result <- watched{objects: objects, revision: revision, err: err}
	}()
	for {
		select {
		case news := <-m.news:
			m.take(news)
		case r := <-result:
			if err := m.enter(asked, r); err != nil || len(r.objects) == 0 {
				return err
			}
			m.pause(ctx, m.pauseAfter())
			return nil
		}
	}
}

// pauseAfter returns the time between a change and the next watch.
func (m *Mirror) pauseAfter() time.Duration {
	if relay, first := m.Peers.Relay(); relay && !first {
		return backupPauseAfter
	}
	return firstPauseAfter
}

// pause waits, and takes news meanwhile.
func (m *Mirror) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case news := <-m.news:
			m.take(news)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// enter applies the result of a watch from the revision asked for.
func (m *Mirror) enter(asked uint64, r watched) error {
	if errors.Is(r.err, objectstore.ErrCompacted) {
		m.Logger.Info("watch history compacted", zap.String("kind", m.Kind), zap.Uint64("revision", asked))
		m.listed = false
		return nil
	}
	if r.err != nil {
		return r.err
	}
	m.behind = time.Time{}
	m.apply(r.objects)
	if len(r.objects) > 0 {
		if relay, _ := m.Peers.Relay(); relay {
			m.Peers.Publish(News{Kind: m.Kind, From: min(m.changed, asked), To: r.revision, Objects: r.objects})
		}
		m.changed = max(m.changed, r.revision)
	}
	m.revision = max(m.revision, r.revision)
	return nil
}

// apply passes on the changes that are newer than what is known.
func (m *Mirror) apply(objects []objectstore.Object) {
	for _, object := range objects {
		known, ok := m.versions[object.Key]
		if ok && (object.Version < known || object.Version == known && !object.Deleted) {
			continue
		}
		m.versions[object.Key] = object.Version
		m.Receiver.Change(object)
	}
}

func (m *Mirror) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if m.failures == 0 {
		m.since = time.Now()
		m.Logger.Warn("store lost", zap.String("kind", m.Kind), zap.Uint64("revision", m.revision), zap.Error(err))
	}
	m.failures++
	m.relist = true
	m.Receiver.Lost(err)
	m.Peers.Announce(m.Kind, Head{Changed: m.changed})
	pause := min(firstPause<<min(m.failures-1, 8), longestPause)
	m.pause(ctx, pause/2+rand.N(pause/2+1))
}

func (m *Mirror) answered() {
	m.Peers.Announce(m.Kind, Head{Changed: m.changed, Fresh: true})
	if m.failures == 0 {
		return
	}
	m.Logger.Info("store found", zap.String("kind", m.Kind), zap.Uint64("revision", m.revision),
		zap.Duration("outage", time.Since(m.since)), zap.Int("failed_calls", m.failures))
	m.failures = 0
	m.Receiver.Found()
}
