package fleet

import (
	"slices"
	"strings"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// remove forgets withdrawn parts. Without a problem list, parts that do not
// exist are passed over.
func remove(problems *Problems, next *State, r api.NoteRemovals) {
	next.Endpoints = drop(problems, "endpoints", next.Endpoints, r.Endpoints, endpointID,
		func(e *api.Endpoint) string { return unlessWithdrawn(e.Withdrawn) })
	next.Workspaces = drop(problems, "workspaces", next.Workspaces, r.Workspaces, workspaceID,
		func(w *api.Workspace) string { return unlessWithdrawn(w.Withdrawn) })
	// Endpoints come first, so that one note can remove a zone with all of its
	// endpoints.
	endpoints := next.Endpoints
	next.Zones = drop(problems, "zones", next.Zones, r.Zones, zoneID, func(z *api.Zone) string {
		used := func(e api.Endpoint) bool { return e.Zone == z.ID }
		return firstOf(unlessWithdrawn(z.Withdrawn), usedBy(endpoints, used))
	})
	next.Models = drop(problems, "models", next.Models, r.Models, modelID, func(m *api.Model) string {
		used := func(e api.Endpoint) bool { return slices.Contains(e.Models, m.ID) }
		return firstOf(unlessWithdrawn(m.Withdrawn), usedBy(endpoints, used))
	})
	next.Services = drop(problems, "services", next.Services, r.Services, serviceID, func(s *api.Service) string {
		used := func(e api.Endpoint) bool { return e.Service == s.ID }
		return firstOf(unlessWithdrawn(s.Withdrawn), usedBy(endpoints, used))
	})
}

// drop returns a copy of the list without the named parts. obstacle says why a
// part can't be removed, or "".
func drop[T any](problems *Problems, kind string, list []T, names []string, id func(*T) string, obstacle func(*T) string) []T {
	if len(names) == 0 {
		return list
	}
	kept := slices.Clone(list)
	for i, name := range names {
		at, found := slices.BinarySearchFunc(kept, name, func(part T, name string) int {
			return strings.Compare(id(&part), name)
		})
		if !found {
			problems.add(itemPath("removed", kind, i), "%q does not exist", name)
			continue
		}
		if reason := obstacle(&kept[at]); reason != "" {
			problems.add(itemPath("removed", kind, i), "%q %s", name, reason)
			continue
		}
		kept = slices.Delete(kept, at, at+1)
	}
	return kept
}

func unlessWithdrawn(withdrawn bool) string {
	if withdrawn {
		return ""
	}
	return "is not withdrawn"
}

func usedBy(endpoints []api.Endpoint, used func(api.Endpoint) bool) string {
	at := slices.IndexFunc(endpoints, used)
	if at < 0 {
		return ""
	}
	return "is used by endpoint " + endpoints[at].ID
}

func firstOf(reasons ...string) string {
	for _, reason := range reasons {
		if reason != "" {
			return reason
		}
	}
	return ""
}
