package admission

import "container/list"

// movedTable is a bounded table of chats whose cache has moved to another endpoint, with
// the id of that endpoint. The least recently used entry is evicted first.
type movedTable struct {
	size    int
	entries map[uint64]*list.Element
	order   *list.List
}

type movedChat struct {
	key      uint64
	endpoint string
}

func newMovedTable(size int) movedTable {
	return movedTable{size: size, entries: map[uint64]*list.Element{}, order: list.New()}
}

// lookup returns the endpoint that a chat has moved to, or "" if it has not.
func (t *movedTable) lookup(key uint64) string {
	if len(t.entries) == 0 {
		return ""
	}
	element, ok := t.entries[key]
	if !ok {
		return ""
	}
	t.order.MoveToFront(element)
	return element.Value.(movedChat).endpoint
}

func (t *movedTable) set(key uint64, endpoint string) {
	if element, ok := t.entries[key]; ok {
		element.Value = movedChat{key, endpoint}
		t.order.MoveToFront(element)
		return
	}
	t.entries[key] = t.order.PushFront(movedChat{key, endpoint})
	if t.order.Len() > t.size {
		t.remove(t.order.Back().Value.(movedChat).key)
	}
}

func (t *movedTable) remove(key uint64) {
	if element, ok := t.entries[key]; ok {
		t.order.Remove(element)
		delete(t.entries, key)
	}
}

func (t *movedTable) removeEndpoint(endpoint string) {
	for key, element := range t.entries {
		if element.Value.(movedChat).endpoint == endpoint {
			t.remove(key)
		}
	}
}
