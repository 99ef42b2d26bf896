package engine

import "github.com/hornbeamproxy/hornbeamproxy/api"

// CacheView is what is known about the chats cached at one endpoint, from events
// that arrive late and with gaps. It does no I/O and is not safe for concurrent use.
//
// The contents are unknown at first, after a gap in the sequence, and after the
// bound was exceeded, each time until the next snapshot.
type CacheView struct {
	maxChats int
	last     uint64
	known    bool
	chats    map[string]struct{}
}

// NewCacheView returns a view of at most maxChats chats with unknown contents.
func NewCacheView(maxChats int) *CacheView {
	return &CacheView{maxChats: maxChats, chats: map[string]struct{}{}}
}

// Last returns the highest sequence number seen, for the next request of events.
func (v *CacheView) Last() uint64 { return v.last }

// Known reports whether the contents are known.
func (v *CacheView) Known() bool { return v.known }

// Len returns the number of chats that are known to be cached.
func (v *CacheView) Len() int { return len(v.chats) }

// Contains reports whether a chat is known to be cached.
func (v *CacheView) Contains(prefix string) bool {
	_, found := v.chats[prefix]
	return found
}

// Reset forgets everything, for an endpoint whose boot id has changed and whose
// sequence may start again.
func (v *CacheView) Reset() {
	v.last = 0
	v.forget()
}

func (v *CacheView) forget() {
	v.known = false
	clear(v.chats)
}

// Apply applies events in the given order. Events that are not newer than the last
// one are ignored; they are repetitions.
func (v *CacheView) Apply(events []api.CacheEvent) {
	for _, event := range events {
		v.apply(event)
	}
}

func (v *CacheView) apply(event api.CacheEvent) {
	if event.Sequence <= v.last {
		return
	}
	gap := event.Sequence != v.last+1
	v.last = event.Sequence
	if event.Kind == api.CacheEventKindSnapshot {
		v.replace(event.Prefixes)
		return
	}
	if gap {
		v.forget()
	}
	if !v.known {
		return
	}
	switch event.Kind {
	case api.CacheEventKindStored:
		v.store(event.Prefix)
	case api.CacheEventKindEvicted:
		delete(v.chats, event.Prefix)
	default:
		// An event of an unknown kind may have changed anything.
		v.forget()
	}
}

func (v *CacheView) replace(prefixes []string) {
	v.forget()
	v.known = true
	for _, prefix := range prefixes {
		v.store(prefix)
	}
}

// store adds a chat. A full view forgets everything, since dropping single chats
// would let it claim knowledge that it lacks.
func (v *CacheView) store(prefix string) {
	if !v.known {
		return
	}
	if !v.Contains(prefix) && len(v.chats) >= v.maxChats {
		v.forget()
		return
	}
	v.chats[prefix] = struct{}{}
}
