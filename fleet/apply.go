package fleet

import (
	"slices"
	"strings"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// State is the desired state of the fleet at one revision. All lists are sorted
// by id. A State is not modified after Apply has returned it; later states share its
// slices.
type State = api.FleetState

// Apply returns the state that results from a note, one revision above s. The error
// is of type Problems and lists all faults of the note. If the note has faults, the
// returned state is s; if only the resulting state is too large for the object API,
// that state is returned with the error.
func Apply(s State, note api.Note) (State, error) {
	var problems Problems
	checkNote(&problems, note)
	next := mergeNote(&problems, s, note)
	checkParts(&problems, next, note)
	if len(problems) > 0 {
		return s, problems.asError()
	}
	id, err := NoteID(note)
	if err != nil {
		return s, Problems{{Text: err.Error()}}
	}
	next.NoteID = id
	next.Revision = s.Revision + 1
	data, err := Marshal(next)
	if err != nil {
		return s, Problems{{Text: err.Error()}}
	}
	if len(data) > objectstore.MaxValueBytes {
		problems.add("", "the fleet state would take %d bytes, the object API holds at most %d", len(data), objectstore.MaxValueBytes)
	}
	return next, problems.asError()
}

// InForce reports whether the state still contains everything that a note specifies.
// It is false once a later note has undone a part of it. The drain time is ignored.
func InForce(s State, note api.Note) bool {
	next := mergeNote(nil, s, note)
	next.DrainSeconds = s.DrainSeconds
	before, err := Marshal(s)
	if err != nil {
		return false
	}
	after, err := Marshal(next)
	return err == nil && slices.Equal(before, after)
}

// mergeNote merges a note into a state and reports duplicate and unknown parts. With
// a nil problem list it adds or replaces parts whether or not they exist.
func mergeNote(problems *Problems, s State, note api.Note) State {
	added, changed := partsOrEmpty(note.Added), partsOrEmpty(note.Changed)
	next := s
	next.Zones = mergeParts(problems, "zones", s.Zones, added.Zones, changed.Zones, zoneID)
	next.Endpoints = mergeParts(problems, "endpoints", s.Endpoints, added.Endpoints, changed.Endpoints, endpointID)
	next.Models = mergeParts(problems, "models", s.Models, added.Models, changed.Models, modelID)
	next.Services = mergeParts(problems, "services", s.Services, added.Services, changed.Services, serviceID)
	next.Workspaces = mergeParts(problems, "workspaces", s.Workspaces, added.Workspaces, changed.Workspaces, workspaceID)
	if note.Withdrawn != nil {
		applyWithdrawals(problems, &next, *note.Withdrawn)
		next.DrainSeconds = note.Withdrawn.DrainSeconds
	}
	if note.Removed != nil {
		applyRemovals(problems, &next, *note.Removed)
	}
	return next
}

func partsOrEmpty(p *api.NoteParts) api.NoteParts {
	if p == nil {
		return api.NoteParts{}
	}
	return *p
}

func zoneID(z *api.Zone) string           { return z.ID }
func endpointID(e *api.Endpoint) string   { return e.ID }
func modelID(m *api.Model) string         { return m.ID }
func serviceID(s *api.Service) string     { return s.ID }
func workspaceID(w *api.Workspace) string { return w.ID }

// mergeParts returns a copy of existing with the added and changed parts, sorted by
// id.
func mergeParts[T any](problems *Problems, kind string, existing, added, changed []T, id func(*T) string) []T {
	next := slices.Clone(existing)
	index := make(map[string]int, len(next)+len(added))
	for i := range next {
		index[id(&next[i])] = i
	}
	seen := make(map[string]bool, len(added)+len(changed))
	for i := range added {
		key := id(&added[i])
		at, exists := index[key]
		if exists {
			problems.add(itemPath("added", kind, i), "%q exists already", key)
			next[at] = added[i]
			seen[key] = true
			continue
		}
		index[key] = len(next)
		seen[key] = true
		next = append(next, added[i])
	}
	for i := range changed {
		key := id(&changed[i])
		at, exists := index[key]
		switch {
		case seen[key]:
			problems.add(itemPath("changed", kind, i), "%q appears twice in the note", key)
		case exists:
			next[at] = changed[i]
		default:
			problems.add(itemPath("changed", kind, i), "%q does not exist", key)
			if problems == nil {
				next = append(next, changed[i])
				index[key] = len(next) - 1
			}
		}
		seen[key] = true
	}
	slices.SortFunc(next, func(a, b T) int { return strings.Compare(id(&a), id(&b)) })
	return next
}

func applyWithdrawals(problems *Problems, next *State, w api.NoteWithdrawals) {
	markWithdrawn(problems, "zones", next.Zones, w.Zones, zoneID, func(z *api.Zone) { z.Withdrawn = true })
	markWithdrawn(problems, "endpoints", next.Endpoints, w.Endpoints, endpointID, func(e *api.Endpoint) { e.Withdrawn = true })
	markWithdrawn(problems, "models", next.Models, w.Models, modelID, func(m *api.Model) { m.Withdrawn = true })
	markWithdrawn(problems, "services", next.Services, w.Services, serviceID, func(s *api.Service) { s.Withdrawn = true })
	markWithdrawn(problems, "workspaces", next.Workspaces, w.Workspaces, workspaceID, func(w *api.Workspace) { w.Withdrawn = true })
	for i, instance := range w.Instances {
		if !withdrawInstance(next, instance) {
			problems.add(itemPath("withdrawn", "instances", i), "no endpoint runs on instance %q", instance)
		}
	}
	for i, name := range w.Adapters {
		if !withdrawAdapter(next, name) {
			problems.add(itemPath("withdrawn", "adapters", i), "no model lists adapter %q", name)
		}
	}
	for i, name := range w.Versions {
		if !withdrawVersion(next, name) {
			problems.add(itemPath("withdrawn", "versions", i), "%q is not the model@version of a known model and version", name)
		}
	}
}

// markWithdrawn sets the withdrawn flag of the named parts. It modifies list, which
// is a copy made by mergeParts.
func markWithdrawn[T any](problems *Problems, kind string, list []T, names []string, id func(*T) string, set func(*T)) {
	for i, name := range names {
		at, found := slices.BinarySearchFunc(list, name, func(part T, name string) int {
			return strings.Compare(id(&part), name)
		})
		if !found {
			problems.add(itemPath("withdrawn", kind, i), "%q does not exist", name)
			continue
		}
		set(&list[at])
	}
}

// withdrawInstance marks the endpoints on an instance as withdrawn and reports
// whether there are any. Instances have no entry in the state, so a note that
// reinstates one must change each of its endpoints.
func withdrawInstance(next *State, instance string) bool {
	found := false
	for i := range next.Endpoints {
		if next.Endpoints[i].Instance == instance {
			next.Endpoints[i].Withdrawn = true
			found = true
		}
	}
	return found
}

// withdrawAdapter withdraws model:adapter, or an adapter from all models that list it.
// It reports whether a model lists the adapter.
func withdrawAdapter(next *State, name string) bool {
	model, adapter, qualified := strings.Cut(name, ":")
	if !qualified {
		adapter = name
	}
	found := false
	for i := range next.Models {
		m := &next.Models[i]
		if (qualified && m.ID != model) || !slices.Contains(m.Adapters, adapter) {
			continue
		}
		m.WithdrawnAdapters = insertSorted(m.WithdrawnAdapters, adapter)
		found = true
	}
	return found
}

// withdrawVersion withdraws model@version. It reports whether the model and the
// version are known.
func withdrawVersion(next *State, name string) bool {
	model, version, ok := strings.Cut(name, "@")
	if !ok {
		return false
	}
	for i := range next.Models {
		m := &next.Models[i]
		if m.ID != model || !slices.Contains(knownVersions(*next, *m), version) {
			continue
		}
		m.WithdrawnVersions = insertSorted(m.WithdrawnVersions, version)
		return true
	}
	return false
}

// knownVersions lists the default version of a model and the versions of it that
// endpoints serve.
func knownVersions(s State, m api.Model) []string {
	var found []string
	if m.Version != "" {
		found = append(found, m.Version)
	}
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if e.Version != "" && slices.Contains(e.Models, m.ID) {
			found = insertSorted(found, e.Version)
		}
	}
	return found
}

// insertSorted returns a sorted copy of list that contains name once. It does not
// modify list, which may be shared with an older state.
func insertSorted(list []string, name string) []string {
	next := append(slices.Clone(list), name)
	slices.Sort(next)
	return slices.Compact(next)
}
