package fleet

import (
	"slices"
	"strings"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// State is the desired state of the fleet at one revision. All lists are sorted
// by id. A State is never modified after it was returned; its slices are shared
// with later states.
type State = api.FleetState

// Apply returns the state after a note, one revision higher. The error is of
// type Problems and lists all faults of the note; the state is then unchanged.
func Apply(s State, note api.Note) (State, error) {
	var problems Problems
	checkNote(&problems, note)
	next := combine(&problems, s, note)
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

// InForce reports whether everything that a note asks for still holds in the
// state, which is false once a later note has undone a part of it.
func InForce(s State, note api.Note) bool {
	next := combine(nil, s, note)
	next.DrainSeconds = s.DrainSeconds
	before, err := Marshal(s)
	if err != nil {
		return false
	}
	after, err := Marshal(next)
	return err == nil && slices.Equal(before, after)
}

// combine merges a note into a state and reports duplicate and unknown parts.
// Without a problem list it replaces parts whether or not they exist.
func combine(problems *Problems, s State, note api.Note) State {
	added, changed := parts(note.Added), parts(note.Changed)
	next := s
	next.Zones = merge(problems, "zones", s.Zones, added.Zones, changed.Zones, zoneID)
	next.Endpoints = merge(problems, "endpoints", s.Endpoints, added.Endpoints, changed.Endpoints, endpointID)
	next.Models = merge(problems, "models", s.Models, added.Models, changed.Models, modelID)
	next.Services = merge(problems, "services", s.Services, added.Services, changed.Services, serviceID)
	next.Workspaces = merge(problems, "workspaces", s.Workspaces, added.Workspaces, changed.Workspaces, workspaceID)
	if note.Withdrawn != nil {
		withdraw(problems, &next, *note.Withdrawn)
		next.DrainSeconds = note.Withdrawn.DrainSeconds
	}
	if note.Removed != nil {
		remove(problems, &next, *note.Removed)
	}
	return next
}

func parts(p *api.NoteParts) api.NoteParts {
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

// merge returns a sorted copy of have with the added and changed parts.
func merge[T any](problems *Problems, kind string, have, added, changed []T, id func(*T) string) []T {
	next := slices.Clone(have)
	index := make(map[string]int, len(next)+len(added))
	for i := range next {
		index[id(&next[i])] = i
	}
	named := make(map[string]bool, len(added)+len(changed))
	for i := range added {
		key := id(&added[i])
		at, exists := index[key]
		if exists {
			problems.add(itemPath("added", kind, i), "%q exists already", key)
			next[at] = added[i]
			named[key] = true
			continue
		}
		index[key] = len(next)
		named[key] = true
		next = append(next, added[i])
	}
	for i := range changed {
		key := id(&changed[i])
		at, exists := index[key]
		switch {
		case named[key]:
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
		named[key] = true
	}
	slices.SortFunc(next, func(a, b T) int { return strings.Compare(id(&a), id(&b)) })
	return next
}

func withdraw(problems *Problems, next *State, w api.NoteWithdrawals) {
	mark(problems, "zones", next.Zones, w.Zones, zoneID, func(z *api.Zone) { z.Withdrawn = true })
	mark(problems, "endpoints", next.Endpoints, w.Endpoints, endpointID, func(e *api.Endpoint) { e.Withdrawn = true })
	mark(problems, "models", next.Models, w.Models, modelID, func(m *api.Model) { m.Withdrawn = true })
	mark(problems, "services", next.Services, w.Services, serviceID, func(s *api.Service) { s.Withdrawn = true })
	mark(problems, "workspaces", next.Workspaces, w.Workspaces, workspaceID, func(w *api.Workspace) { w.Withdrawn = true })
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

// mark sets the withdrawn flag of the named parts. The list is a copy that
// merge made.
func mark[T any](problems *Problems, kind string, list []T, names []string, id func(*T) string, set func(*T)) {
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

// withdrawInstance marks the endpoints on an instance. Instances are no parts
// of their own, so each endpoint is brought back by a change of its own.
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

// withdrawAdapter accepts model:adapter, or adapter for all models that list it.
func withdrawAdapter(next *State, name string) bool {
	model, adapter, one := strings.Cut(name, ":")
	if !one {
		adapter = name
	}
	found := false
	for i := range next.Models {
		m := &next.Models[i]
		if (one && m.ID != model) || !slices.Contains(m.Adapters, adapter) {
			continue
		}
		m.WithdrawnAdapters = insert(m.WithdrawnAdapters, adapter)
		found = true
	}
	return found
}

func withdrawVersion(next *State, name string) bool {
	model, version, ok := strings.Cut(name, "@")
	if !ok {
		return false
	}
	for i := range next.Models {
		m := &next.Models[i]
		if m.ID != model || !slices.Contains(versions(*next, *m), version) {
			continue
		}
		m.WithdrawnVersions = insert(m.WithdrawnVersions, version)
		return true
	}
	return false
}

// versions lists the versions of a model that callers get by default or that an
// endpoint serves.
func versions(s State, m api.Model) []string {
	var found []string
	if m.Version != "" {
		found = append(found, m.Version)
	}
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if e.Version != "" && slices.Contains(e.Models, m.ID) {
			found = insert(found, e.Version)
		}
	}
	return found
}

// insert returns a sorted copy of list that contains name once. The list itself
// may be shared with an older state.
func insert(list []string, name string) []string {
	next := append(slices.Clone(list), name)
	slices.Sort(next)
	return slices.Compact(next)
}
