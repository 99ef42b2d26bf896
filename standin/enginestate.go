package standin

import (
	"bytes"
	"container/list"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// EventConfig sets how an engine publishes cache events.
type EventConfig struct {
	// Delay is the time between an event and its publication.
	Delay time.Duration
	// LoseEvery above 0 drops each event whose sequence number is a multiple of LoseEvery.
	LoseEvery int
	// SnapshotEvery makes the engine publish a snapshot of the cache after each event
	// whose sequence number is a multiple of SnapshotEvery; 0 means 64.
	SnapshotEvery int
}

// maxKeptEvents bounds the number of events kept for GET /cache/events.
const maxKeptEvents = 1024

// prefixCache is an LRU cache of chats with a capacity in tokens. Engine.mu guards it.
type prefixCache struct {
	maxTokens int
	tokens    int
	config    EventConfig
	entries   map[string]*list.Element
	order     *list.List
	sequence  uint64
	events    []timedEvent
}

type timedEvent struct {
	at    time.Time
	event api.CacheEvent
}

// cachedChat holds the hashes and token counts of a chat's messages.
type cachedChat struct {
	key    string
	Hashes []uint64 `json:"hashes"`
	Tokens []int    `json:"tokens"`
}

func (c *cachedChat) total() int {
	sum := 0
	for _, n := range c.Tokens {
		sum += n
	}
	return sum
}

type promptCount struct{ total, cached int }

func newPrefixCache(maxTokens int, config EventConfig) *prefixCache {
	setDefault(&config.SnapshotEvery, 64)
	return &prefixCache{
		maxTokens: maxTokens,
		config:    config,
		entries:   map[string]*list.Element{},
		order:     list.New(),
	}
}

// messageTokens approximates a tokenizer: one token for every four bytes of text, and
// four tokens for the role.
func messageTokens(m chatMessage) int { return 4 + len(m.text())/4 }

// lookup counts the tokens of a prompt and of its longest prefix of messages that is
// cached under the key.
func (c *prefixCache) lookup(key string, messages []chatMessage) promptCount {
	var count promptCount
	var cached []uint64
	if element := c.entries[key]; element != nil {
		cached = element.Value.(*cachedChat).Hashes
		c.order.MoveToFront(element)
	}
	match := true
	for i, m := range messages {
		tokens := messageTokens(m)
		count.total += tokens
		match = match && i < len(cached) && cached[i] == m.hash()
		if match {
			count.cached += tokens
		}
	}
	return count
}

func (c *prefixCache) store(key string, messages []chatMessage) {
	if key == "" {
		return
	}
	chat := &cachedChat{key: key}
	for _, m := range messages {
		chat.Hashes = append(chat.Hashes, m.hash())
		chat.Tokens = append(chat.Tokens, messageTokens(m))
	}
	c.put(chat)
}

func (c *prefixCache) put(chat *cachedChat) {
	if old := c.entries[chat.key]; old != nil {
		c.tokens -= old.Value.(*cachedChat).total()
		c.order.Remove(old)
	}
	c.entries[chat.key] = c.order.PushFront(chat)
	c.tokens += chat.total()
	c.publish(api.CacheEventKindStored, chat.key)
	for c.tokens > c.maxTokens {
		c.evict(c.order.Back())
	}
}

func (c *prefixCache) evict(element *list.Element) {
	chat := c.order.Remove(element).(*cachedChat)
	delete(c.entries, chat.key)
	c.tokens -= chat.total()
	c.publish(api.CacheEventKindEvicted, chat.key)
}

// clear empties the cache without publishing evictions, as a crash does. It skips one
// sequence number, so that clients miss an event and get a snapshot instead.
func (c *prefixCache) clear() {
	clear(c.entries)
	c.order.Init()
	c.tokens = 0
	c.events = nil
	c.sequence++
}

func (c *prefixCache) publish(kind api.CacheEventKind, key string) {
	c.sequence++
	event := api.CacheEvent{Sequence: c.sequence, Kind: kind, Prefix: key}
	lost := c.config.LoseEvery > 0 && c.sequence%uint64(c.config.LoseEvery) == 0
	if !lost {
		c.append(event)
	}
	if c.sequence%uint64(c.config.SnapshotEvery) == 0 {
		c.sequence++
		c.append(c.snapshotEvent())
	}
}

func (c *prefixCache) append(event api.CacheEvent) {
	c.events = append(c.events, timedEvent{time.Now(), event})
	if len(c.events) > maxKeptEvents {
		c.events = slices.Clone(c.events[len(c.events)-maxKeptEvents/2:])
	}
}

// snapshotEvent returns a snapshot of the cache with the newest sequence number.
func (c *prefixCache) snapshotEvent() api.CacheEvent {
	event := api.CacheEvent{Sequence: c.sequence, Kind: api.CacheEventKindSnapshot, Prefixes: []string{}}
	for element := c.order.Front(); element != nil; element = element.Next() {
		event.Prefixes = append(event.Prefixes, element.Value.(*cachedChat).key)
	}
	return event
}

// eventsSince returns the published events with a sequence number above after. If some of
// them are no longer kept, it returns a snapshot instead.
func (c *prefixCache) eventsSince(after uint64, now time.Time) []api.CacheEvent {
	found := []api.CacheEvent{}
	if after < c.sequence && (len(c.events) == 0 || after+1 < c.events[0].event.Sequence) {
		return append(found, c.snapshotEvent())
	}
	for _, e := range c.events {
		if now.Sub(e.at) < c.config.Delay {
			break
		}
		if e.event.Sequence > after {
			found = append(found, e.event)
		}
	}
	return found
}

// maxKeptReports bounds the history of load reports.
const maxKeptReports = 4096

// recordLoad appends the current load report to the history. GET /load returns the report
// that was current LoadLag ago. The caller holds Engine.mu, except in NewEngine.
func (e *Engine) recordLoad() {
	report := e.report
	report.Models = slices.Clone(e.report.Models)
	report.Adapters = slices.Clone(e.report.Adapters)
	e.history = append(e.history, timedReport{time.Now(), report})
	if len(e.history) > maxKeptReports {
		e.history = slices.Clone(e.history[maxKeptReports/2:])
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.history[0].report
	limit := time.Now().Add(-e.config.LoadLag)
	for _, old := range e.history {
		if old.at.After(limit) {
			break
		}
		report = old.report
	}
	e.mu.Unlock()
	report.AgeMs = int(e.config.LoadLag.Milliseconds())
	writeJSONWithLength(w, http.StatusOK, report)
}

func writeJSONWithLength(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// CacheSequence returns the sequence number of the newest cache event, even if that event
// was dropped or is not published yet.
func (e *Engine) CacheSequence() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.sequence
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.cache.eventsSince(after, time.Now())
	e.mu.Unlock()
	writeJSONWithLength(w, http.StatusOK, api.CacheEvents{Events: events})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order api.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	newest := max(order.FencingNumber, e.report.FencingNumber)
	if e.config.ChecksFencing && order.FencingNumber < newest {
		writeJSONWithLength(w, http.StatusConflict, api.OrderResult{FencingNumber: newest})
		return
	}
	e.report.FencingNumber = newest
	repeated := slices.ContainsFunc(e.orders, func(o api.Order) bool { return o.ID == order.ID })
	if !repeated {
		e.orders = append(e.orders, order)
		e.applyOrder(order)
	}
	e.recordLoad()
	writeJSONWithLength(w, http.StatusOK, api.OrderResult{Accepted: true, FencingNumber: newest})
}

func (e *Engine) applyOrder(order api.Order) {
	switch order.Kind {
	case api.OrderKindLoadModel:
		e.report.Models = withName(e.report.Models, order.Model)
	case api.OrderKindUnloadModel:
		e.report.Models = withoutName(e.report.Models, order.Model)
	case api.OrderKindLoadAdapter:
		e.report.Adapters = withName(e.report.Adapters, order.Adapter)
	case api.OrderKindUnloadAdapter:
		e.report.Adapters = withoutName(e.report.Adapters, order.Adapter)
	case api.OrderKindLoadVersion:
		e.report.Version = order.Version
	case api.OrderKindSetRole:
		e.report.Role = order.Role
	}
}

func withName(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(slices.Clone(names), name)
}

func withoutName(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

// serveExport sends the KV cache of a chat: its hashes and token counts as JSON,
// followed by zero bytes in place of the tensors.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	element := e.cache.entries[r.PathValue("prefix")]
	if element == nil {
		e.mu.Unlock()
		http.Error(w, "not cached", http.StatusNotFound)
		return
	}
	chat := element.Value.(*cachedChat)
	body, _ := json.Marshal(chat)
	tensors := chat.total() * e.config.KVBytesPerToken
	e.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+tensors))
	_, _ = w.Write(body)
	_, _ = w.Write(make([]byte, tensors))
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var body bytes.Buffer
	if _, err := body.ReadFrom(r.Body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	chat := &cachedChat{key: r.PathValue("prefix")}
	if err := json.NewDecoder(&body).Decode(chat); err != nil || len(chat.Hashes) != len(chat.Tokens) {
		http.Error(w, "not a KV cache", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.cache.put(chat)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
