package engine

import "github.com/hornbeamproxy/hornbeamproxy/api"

// CacheView tracks which chats one endpoint has cached, from cache events that may
// arrive late and with gaps. A prefix in an event is the hex chat key of a chat. The
// view does no I/O and is not safe for concurrent use.
//
// The contents are unknown at first. They become unknown again after a gap in the
// sequence numbers, after an event of an unknown kind, or if there are more than maxChats
// chats. The next snapshot with at most maxChats chats makes them known.
type CacheView struct {
	maxChats     int
	lastSequence uint64
	known        bool
	chats        map[string]struct{} // by hex chat key; empty while unknown
}

// NewCacheView returns a view of at most maxChats chats with unknown contents.
func NewCacheView(maxChats int) *CacheView {
	return &CacheView{maxChats: maxChats, chats: map[string]struct{}{}}
}

// LastSequence returns the highest sequence number applied. The next call of
// ReportReader.CacheEvents should read the events after it.
func (v *CacheView) LastSequence() uint64 { return v.lastSequence }

// ContentsKnown reports whether the contents are known.
func (v *CacheView) ContentsKnown() bool { return v.known }

// Len returns the number of chats that are known to be cached; 0 while the contents are
// unknown.
func (v *CacheView) Len() int { return len(v.chats) }

// Contains reports whether the chat with this hex chat key is known to be cached. It
// returns false while the contents are unknown.
func (v *CacheView) Contains(prefix string) bool {
	_, found := v.chats[prefix]
	return found
}

// Reset makes the contents unknown and accepts any sequence number again. It is
// called when the endpoint's boot id has changed, because a restarted endpoint may
// start its sequence anew.
func (v *CacheView) Reset() {
	v.lastSequence = 0
	v.markUnknown()
}

func (v *CacheView) markUnknown() {
	v.known = false
	clear(v.chats)
}

// Apply applies events in the given order. Events with a sequence number up to
// LastSequence are duplicates and are ignored.
func (v *CacheView) Apply(events []api.CacheEvent) {
	for _, event := range events {
		v.apply(event)
	}
}

func (v *CacheView) apply(event api.CacheEvent) {
	if event.Sequence <= v.lastSequence {
		return
	}
	gap := event.Sequence != v.lastSequence+1
	v.lastSequence = event.Sequence
	if event.Kind == api.CacheEventKindSnapshot {
		v.setChats(event.Prefixes)
		return
	}
	if gap {
		v.markUnknown()
	}
	if !v.known {
		return
	}
	switch event.Kind {
	case api.CacheEventKindStored:
		v.addChat(event.Prefix)
	case api.CacheEventKindEvicted:
		delete(v.chats, event.Prefix)
	default:
		// An event of an unknown kind may have changed the cache in any way.
		v.markUnknown()
	}
}

func (v *CacheView) setChats(prefixes []string) {
	v.markUnknown()
	v.known = true
	for _, prefix := range prefixes {
		v.addChat(prefix)
	}
}

// addChat adds a chat. If the view is full, its whole contents become unknown. Dropping
// only some chats would make the view report cached chats as not cached.
func (v *CacheView) addChat(prefix string) {
	if !v.known {
		return
	}
	if !v.Contains(prefix) && len(v.chats) >= v.maxChats {
		v.markUnknown()
		return
	}
	v.chats[prefix] = struct{}{}
}
