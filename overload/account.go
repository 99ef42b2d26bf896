// Package overload decides what a router holds for its callers: one account of bytes with the leases
// that are to be ended when it runs short, and one of connections. It does no I/O and reads no clock.
package overload

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Kind says what a lease's bytes are used for.
type Kind int

// Kinds of bytes in the account.
const (
	Bodies      Kind = iota // request bodies
	Heads                   // heads of requests with the memory of their fields
	Responses               // responses and events that are read before they are forwarded
	Unread                  // the rest of a write that a caller does not read
	Connections             // the fixed cost of callers' connections
	kinds
)

// String returns the name of the kind in metrics and log lines.
func (k Kind) String() string {
	return [kinds]string{"bodies", "heads", "responses", "unread", "connections"}[k]
}

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Bodies, Heads, Responses, Unread, Connections} }

const (
	// SmallBytes is the size up to which a request may use the reserve.
	SmallBytes = 64 << 10
	// reserveDivisor is the inverse of the part of the budget that only small requests may use.
	reserveDivisor = 4
	// ProgressWindow is the time over which the progress of a transfer is measured under pressure.
	ProgressWindow = time.Second
	// ProgressBytes is the progress in ProgressWindow below which a transfer is a victim.
	ProgressBytes = 16 << 10
	// nearlyDone is the part of a declared length from which a transfer that has stopped is ended
	// after those that are further from their end.
	nearlyDone = 0.9
)

// Account is an account of bytes. It is safe for concurrent use.
type Account struct {
	budget int64 // 0 means no limit
	used   atomic.Int64

	mu      sync.Mutex
	byKind  [kinds]int64
	watched map[*Lease]struct{}
}

// New returns an account with a budget in bytes. A budget of 0 or less is no limit.
func New(budget int64) *Account {
	return &Account{budget: max(budget, 0), watched: map[*Lease]struct{}{}}
}

// Lease is a part of the account. It is safe for concurrent use. A nil lease ignores all calls and
// refuses none.
type Lease struct {
	account *Account
	kind    Kind
	ended   atomic.Bool
	// ending is held while end is called, so that it is not called after Unwatch has returned.
	ending sync.Mutex

	// The following are guarded by account.mu.
	bytes    int64
	small    bool
	end      func()
	declared int64 // length of the transfer, 0 if unknown
	moved    int64 // bytes transferred so far
	began    time.Time
	window   time.Time // start of the current progress window
	current  int64     // bytes transferred in the current window
	previous int64     // bytes transferred in the window before
}

// Reserve takes n bytes of the account. It returns false if they are not available; the reserve is
// only available to small ones.
func (a *Account) Reserve(kind Kind, n int64, small bool) (*Lease, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fits(n, small) {
		return nil, false
	}
	lease := &Lease{account: a, kind: kind, small: small}
	lease.add(n)
	return lease, true
}

// Track takes n bytes of the account also if they are not available. It is for what has to be held
// anyway.
func (a *Account) Track(kind Kind, n int64) *Lease {
	a.mu.Lock()
	defer a.mu.Unlock()
	lease := &Lease{account: a, kind: kind, small: n <= SmallBytes}
	lease.add(n)
	return lease
}

func (a *Account) fits(n int64, small bool) bool {
	if a.budget == 0 {
		return true
	}
	limit := a.budget
	if !small {
		limit -= a.budget / reserveDivisor
	}
	return a.used.Load()+n <= limit
}

// add changes the bytes of a lease. Callers hold account.mu.
func (l *Lease) add(n int64) {
	l.bytes += n
	l.account.byKind[l.kind] += n
	l.account.used.Add(n)
}

// Grow takes n more bytes, and returns false if they are not available. A lease of more than
// SmallBytes is not small any more.
func (l *Lease) Grow(n int64) bool {
	if l == nil {
		return true
	}
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	small := l.small && l.bytes+n <= SmallBytes
	if !l.account.fits(n, small) {
		return false
	}
	l.small = small
	l.add(n)
	return true
}

// Charge takes n more bytes, also if they are not available.
func (l *Lease) Charge(n int64) {
	if l == nil {
		return
	}
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	l.add(n)
}

// Watch makes the lease one that may be ended by calling end while it makes no progress. declared is
// the length of its transfer in bytes, or 0 if it is unknown. end must not call Unwatch
// or End.
func (l *Lease) Watch(now time.Time, declared int64, end func()) {
	if l == nil {
		return
	}
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	l.declared, l.end, l.began, l.window = declared, end, now, now
	l.account.watched[l] = struct{}{}
}

// Unwatch ends the transfer: the lease keeps its bytes and is not ended any more.
func (l *Lease) Unwatch() {
	if l == nil {
		return
	}
	l.ending.Lock()
	defer l.ending.Unlock()
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	delete(l.account.watched, l)
}

// Progress records that n bytes have been transferred.
func (l *Lease) Progress(now time.Time, n int) {
	if l == nil {
		return
	}
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	if age := now.Sub(l.window); age >= ProgressWindow {
		l.previous = l.current
		if age >= 2*ProgressWindow {
			l.previous = 0
		}
		l.window, l.current = now, 0
	}
	l.moved += int64(n)
	l.current += int64(n)
}

// recent returns the bytes transferred in about the last ProgressWindow, and not less than that.
func (l *Lease) recent(now time.Time) int64 {
	switch age := now.Sub(l.window); {
	case age >= 2*ProgressWindow:
		return 0
	case age >= ProgressWindow:
		return l.current
	}
	return l.previous + l.current
}

// Shrink returns n bytes of the lease.
func (l *Lease) Shrink(n int64) { l.Charge(-n) }

// Release returns all bytes of the lease. It may be called more than once.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	delete(l.account.watched, l)
	l.add(-l.bytes)
}

// End ends the lease's transfer by the function that was given to Watch.
func (l *Lease) End() {
	l.ending.Lock()
	defer l.ending.Unlock()
	l.ended.Store(true)
	l.account.mu.Lock()
	_, watched := l.account.watched[l]
	delete(l.account.watched, l)
	end := l.end
	l.account.mu.Unlock()
	if watched {
		end()
	}
}

// Ended reports whether End has been called.
func (l *Lease) Ended() bool { return l != nil && l.ended.Load() }

// Kind returns the kind of the lease.
func (l *Lease) Kind() Kind { return l.kind }

// Bytes returns the bytes that the lease holds.
func (l *Lease) Bytes() int64 {
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	return l.bytes
}

// Pressed reports whether more than half of the budget is used.
func (a *Account) Pressed() bool { return a.budget > 0 && a.used.Load() > a.budget/2 }

// Used returns the bytes in use.
func (a *Account) Used() int64 { return a.used.Load() }

// UsedFor returns the bytes in use by one kind.
func (a *Account) UsedFor(kind Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byKind[kind]
}

// victim is a lease that may be ended, with what decides its place.
type victim struct {
	lease  *Lease
	rank   int
	bytes  int64
	recent int64
}

// Ranks of victims, the first to end first.
const (
	rankStopped    = iota // large and without progress
	rankNearlyDone        // the same, but close to its end
	rankSlow
)

// Victims returns the leases to end, worst first: as many as bring the use down to half of the
// budget, and none while at most half is used. Only leases that are watched for ProgressWindow and
// moved less than ProgressBytes in the last one are returned. Large ones without any progress come
// first, the largest before the others and those close to their end after them, then the slowest.
func (a *Account) Victims(now time.Time) []*Lease {
	if !a.Pressed() {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var found []victim
	for lease := range a.watched {
		if v, ok := lease.victim(now); ok {
			found = append(found, v)
		}
	}
	slices.SortFunc(found, func(a, b victim) int {
		if a.rank != b.rank {
			return cmp.Compare(a.rank, b.rank)
		}
		if a.rank == rankSlow && a.recent != b.recent {
			return cmp.Compare(a.recent, b.recent)
		}
		return cmp.Compare(b.bytes, a.bytes)
	})
	var chosen []*Lease
	for excess := a.used.Load() - a.budget/2; len(found) > 0 && excess > 0; found = found[1:] {
		excess -= found[0].bytes
		chosen = append(chosen, found[0].lease)
	}
	return chosen
}

// victim returns the lease's place among the victims, and false if it is none. Callers hold
// account.mu.
func (l *Lease) victim(now time.Time) (victim, bool) {
	recent := l.recent(now)
	if now.Sub(l.began) < ProgressWindow || recent >= ProgressBytes {
		return victim{}, false
	}
	v := victim{lease: l, rank: rankSlow, bytes: l.bytes, recent: recent}
	if recent == 0 && l.bytes > SmallBytes {
		v.rank = rankStopped
		if l.declared > 0 && float64(l.moved) > nearlyDone*float64(l.declared) {
			v.rank = rankNearlyDone
		}
	}
	return v, true
}
