package fleet

import (
	"slices"
	"strings"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// applyRemovals removes withdrawn parts from the state. Parts that do not exist, are
// not withdrawn or are still in use are reported and kept; with a nil problem list
// they are skipped silently.
func applyRemovals(problems *Problems, next *State, r api.NoteRemovals) {
	next.Endpoints = removeParts(problems, "endpoints", next.Endpoints, r.Endpoints, endpointID,
		func(e *api.Endpoint) string { return notWithdrawnReason(e.Withdrawn) })
	next.Workspaces = removeParts(problems, "workspaces", next.Workspaces, r.Workspaces, workspaceID,
		func(w *api.Workspace) string { return notWithdrawnReason(w.Withdrawn) })
	// Endpoints are removed first, so that one note can remove a zone together with
	// all of its endpoints.
	endpoints := next.Endpoints
	next.Zones = removeParts(problems, "zones", next.Zones, r.Zones, zoneID, func(z *api.Zone) string {
		used := func(e api.Endpoint) bool { return e.Zone == z.ID }
		return firstNonEmpty(notWithdrawnReason(z.Withdrawn), inUseReason(endpoints, used))
	})
	next.Models = removeParts(problems, "models", next.Models, r.Models, modelID, func(m *api.Model) string {
		used := func(e api.Endpoint) bool { return slices.Contains(e.Models, m.ID) }
		return firstNonEmpty(notWithdrawnReason(m.Withdrawn), inUseReason(endpoints, used))
	})
	next.Services = removeParts(problems, "services", next.Services, r.Services, serviceID, func(s *api.Service) string {
		used := func(e api.Endpoint) bool { return e.Service == s.ID }
		return firstNonEmpty(notWithdrawnReason(s.Withdrawn), inUseReason(endpoints, used))
	})
}

// removeParts returns a copy of the list without the named parts. blockingReason
// returns why a part can't be removed, or "".
func removeParts[T any](problems *Problems, kind string, list []T, names []string, id func(*T) string, blockingReason func(*T) string) []T {
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
		if reason := blockingReason(&kept[at]); reason != "" {
			problems.add(itemPath("removed", kind, i), "%q %s", name, reason)
			continue
		}
		kept = slices.Delete(kept, at, at+1)
	}
	return kept
}

func notWithdrawnReason(withdrawn bool) string {
	if withdrawn {
		return ""
	}
	return "is not withdrawn"
}

// inUseReason names the first endpoint that uses a part; it is "" if there is none.
func inUseReason(endpoints []api.Endpoint, used func(api.Endpoint) bool) string {
	at := slices.IndexFunc(endpoints, used)
	if at < 0 {
		return ""
	}
	return "is used by endpoint " + endpoints[at].ID
}

func firstNonEmpty(reasons ...string) string {
	for _, reason := range reasons {
		if reason != "" {
			return reason
		}
	}
	return ""
}
