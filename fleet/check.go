package fleet

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

const (
	// maxTitleBytes and maxAuthorBytes keep the head object of package notes far below
	// its size limit. The head object lists the last 32 notes; for notes that are too
	// large for it, it holds only title and author.
	maxTitleBytes  = 300
	maxAuthorBytes = 100
	// maxIDBytes bounds the length of object keys that contain an id, such as
	// leases/cold/<endpoint>.
	maxIDBytes = 128
	// maxPriority is the highest priority of a workspace.
	maxPriority = 9
)

func itemPath(section, kind string, i int) string {
	return fmt.Sprintf("%s.%s[%d]", section, kind, i)
}

func checkNote(problems *Problems, note api.Note) {
	if strings.TrimSpace(note.Title) == "" {
		problems.add("title", "is missing")
	}
	if len(note.Title) > maxTitleBytes {
		problems.add("title", "has %d bytes, at most %d are allowed", len(note.Title), maxTitleBytes)
	}
	if len(note.Author) > maxAuthorBytes {
		problems.add("author", "has %d bytes, at most %d are allowed", len(note.Author), maxAuthorBytes)
	}
	if countParts(note) == 0 {
		problems.add("", "the note adds, changes, withdraws and removes nothing")
	}
	if note.Withdrawn != nil && note.Withdrawn.DrainSeconds < 0 {
		problems.add("withdrawn.drain_seconds", "must not be negative")
	}
	checkWithdrawals(problems, note)
	checkRemovals(problems, note)
}

// checkRemovals reports parts that the note both withdraws and removes. Requests in
// flight on them need the drain time between the two.
func checkRemovals(problems *Problems, note api.Note) {
	w, r := note.Withdrawn, note.Removed
	if w == nil || r == nil {
		return
	}
	sameNote := func(kind string, withdrawn, removed []string) {
		for i, name := range removed {
			if slices.Contains(withdrawn, name) {
				problems.add(itemPath("removed", kind, i), "%q is withdrawn by the same note", name)
			}
		}
	}
	sameNote("zones", w.Zones, r.Zones)
	sameNote("endpoints", w.Endpoints, r.Endpoints)
	sameNote("models", w.Models, r.Models)
	sameNote("services", w.Services, r.Services)
	sameNote("workspaces", w.Workspaces, r.Workspaces)
}

func countParts(note api.Note) int {
	count := 0
	for _, p := range []api.NoteParts{partsOrEmpty(note.Added), partsOrEmpty(note.Changed)} {
		count += len(p.Zones) + len(p.Endpoints) + len(p.Models) + len(p.Services) + len(p.Workspaces)
	}
	if w := note.Withdrawn; w != nil {
		count += len(w.Zones) + len(w.Instances) + len(w.Endpoints) + len(w.Models)
		count += len(w.Adapters) + len(w.Versions) + len(w.Services) + len(w.Workspaces)
	}
	if r := note.Removed; r != nil {
		count += len(r.Zones) + len(r.Endpoints) + len(r.Models) + len(r.Services) + len(r.Workspaces)
	}
	return count
}

// checkWithdrawals reports parts that the note withdraws and also adds or changes,
// because a note does not state in which order it does the two.
func checkWithdrawals(problems *Problems, note api.Note) {
	if note.Withdrawn == nil {
		return
	}
	for _, p := range []api.NoteParts{partsOrEmpty(note.Added), partsOrEmpty(note.Changed)} {
		checkNotWithdrawn(problems, "zones", p.Zones, note.Withdrawn.Zones, zoneID)
		checkNotWithdrawn(problems, "endpoints", p.Endpoints, note.Withdrawn.Endpoints, endpointID)
		checkNotWithdrawn(problems, "models", p.Models, note.Withdrawn.Models, modelID)
		checkNotWithdrawn(problems, "services", p.Services, note.Withdrawn.Services, serviceID)
		checkNotWithdrawn(problems, "workspaces", p.Workspaces, note.Withdrawn.Workspaces, workspaceID)
	}
}

func checkNotWithdrawn[T any](problems *Problems, kind string, list []T, names []string, id func(*T) string) {
	for i := range list {
		if at := slices.Index(names, id(&list[i])); at >= 0 {
			problems.add(itemPath("withdrawn", kind, at), "%q is also added or changed by the note", names[at])
		}
	}
}

// references indexes the state by the ids that the parts of a note refer to, and by the
// URLs and keys that must be unique.
type references struct {
	zones    map[string]bool
	models   map[string]api.Model
	services map[string]bool
	urls     map[string]string // URL to endpoint id, without withdrawn endpoints
	keys     map[string]string // key digest to workspace id
}

func newReferences(s State) references {
	refs := references{
		zones:    make(map[string]bool, len(s.Zones)),
		models:   make(map[string]api.Model, len(s.Models)),
		services: make(map[string]bool, len(s.Services)),
		urls:     make(map[string]string, len(s.Endpoints)),
		keys:     make(map[string]string, len(s.Workspaces)),
	}
	for _, z := range s.Zones {
		refs.zones[z.ID] = true
	}
	for _, m := range s.Models {
		refs.models[m.ID] = m
	}
	for _, service := range s.Services {
		refs.services[service.ID] = true
	}
	for i := range s.Endpoints {
		if e := &s.Endpoints[i]; !e.Withdrawn && refs.urls[e.URL] == "" {
			refs.urls[e.URL] = e.ID
		}
	}
	for i := range s.Workspaces {
		key := strings.ToLower(s.Workspaces[i].KeySha256)
		if refs.keys[key] == "" {
			refs.keys[key] = s.Workspaces[i].ID
		}
	}
	return refs
}

// checkParts checks the added and changed parts against the resulting state.
func checkParts(problems *Problems, next State, note api.Note) {
	refs := newReferences(next)
	checkSection(problems, refs, "added", partsOrEmpty(note.Added))
	checkSection(problems, refs, "changed", partsOrEmpty(note.Changed))
}

func checkSection(problems *Problems, refs references, section string, p api.NoteParts) {
	for i, z := range p.Zones {
		checkID(problems, itemPath(section, "zones", i)+".id", z.ID, false)
	}
	for i, m := range p.Models {
		checkModel(problems, itemPath(section, "models", i), m)
	}
	for i, s := range p.Services {
		checkID(problems, itemPath(section, "services", i)+".id", s.ID, false)
	}
	for i, e := range p.Endpoints {
		checkEndpoint(problems, refs, itemPath(section, "endpoints", i), e)
	}
	for i, w := range p.Workspaces {
		checkWorkspace(problems, refs, itemPath(section, "workspaces", i), w)
	}
}

func checkModel(problems *Problems, path string, m api.Model) {
	checkID(problems, path+".id", m.ID, true)
	if m.Version != "" {
		checkID(problems, path+".version", m.Version, false)
	}
	checkRepeated(problems, path+".adapters", m.Adapters)
	for i, adapter := range m.Adapters {
		checkID(problems, fmt.Sprintf("%s.adapters[%d]", path, i), adapter, false)
	}
}

func checkEndpoint(problems *Problems, refs references, path string, e api.Endpoint) {
	checkID(problems, path+".id", e.ID, false)
	checkID(problems, path+".instance", e.Instance, false)
	if !refs.zones[e.Zone] {
		problems.add(path+".zone", "zone %q does not exist", e.Zone)
	}
	checkURL(problems, path+".url", e.URL)
	if other := refs.urls[e.URL]; !e.Withdrawn && other != "" && other != e.ID {
		problems.add(path+".url", "%s is also the URL of endpoint %q", e.URL, other)
	}
	if e.MaxInflight < 1 {
		problems.add(path+".max_inflight", "must be at least 1, is %d", e.MaxInflight)
	}
	if e.Weight < 0 || math.IsNaN(e.Weight) || math.IsInf(e.Weight, 0) {
		problems.add(path+".weight", "must be a finite number that is not negative, is %g", e.Weight)
	}
	if e.Version != "" {
		checkID(problems, path+".version", e.Version, false)
	}
	checkServed(problems, refs, path, e)
}

func checkServed(problems *Problems, refs references, path string, e api.Endpoint) {
	switch {
	case e.Service != "" && len(e.Models) > 0:
		problems.add(path, "serves both a service and models")
	case e.Service == "" && len(e.Models) == 0:
		problems.add(path, "serves neither a service nor a model")
	case e.Service != "" && !refs.services[e.Service]:
		problems.add(path+".service", "service %q does not exist", e.Service)
	}
	checkRepeated(problems, path+".models", e.Models)
	for i, model := range e.Models {
		if _, ok := refs.models[model]; !ok {
			problems.add(fmt.Sprintf("%s.models[%d]", path, i), "model %q does not exist", model)
		}
	}
	for i, adapter := range e.Adapters {
		if !adapterListed(refs, e.Models, adapter) {
			problems.add(fmt.Sprintf("%s.adapters[%d]", path, i), "no model of the endpoint lists adapter %q", adapter)
		}
	}
}

// adapterListed reports whether any of the models lists the adapter.
func adapterListed(refs references, models []string, adapter string) bool {
	for _, model := range models {
		if slices.Contains(refs.models[model].Adapters, adapter) {
			return true
		}
	}
	return false
}

func checkWorkspace(problems *Problems, refs references, path string, w api.Workspace) {
	checkID(problems, path+".id", w.ID, false)
	sum, err := hex.DecodeString(w.KeySha256)
	if err != nil || len(sum) != keyDigestBytes || strings.ToLower(w.KeySha256) != w.KeySha256 {
		problems.add(path+".key_sha256", "must be %d lower-case hex digits", 2*keyDigestBytes)
	} else if other := refs.keys[w.KeySha256]; other != "" && other != w.ID {
		problems.add(path+".key_sha256", "is also the key of workspace %q", other)
	}
	if w.Priority < 0 || w.Priority > maxPriority {
		problems.add(path+".priority", "must be 0 to %d, is %d", maxPriority, w.Priority)
	}
	if w.MaxInflight < 0 {
		problems.add(path+".max_inflight", "must not be negative, is %d", w.MaxInflight)
	}
}

func checkURL(problems *Problems, path, text string) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		problems.add(path, "%q is not an http or https URL", text)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		problems.add(path, "%q must name its host by IP address", text)
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		problems.add(path, "%q must have no user, query or fragment", text)
	}
}

// checkID reports ids that are empty, too long or contain characters that separate
// the parts of pool names and object keys. Only model ids may contain a slash.
func checkID(problems *Problems, path, id string, allowSlash bool) {
	if id == "" {
		problems.add(path, "is missing")
		return
	}
	if len(id) > maxIDBytes {
		problems.add(path, "has %d bytes, at most %d are allowed", len(id), maxIDBytes)
	}
	for _, r := range id {
		if !isIDRune(r) && (r != '/' || !allowSlash) {
			problems.add(path, "%q holds the character %q", id, r)
			return
		}
	}
}

func isIDRune(r rune) bool {
	letter := (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z')
	digit := r >= '0' && r <= '9'
	return letter || digit || strings.ContainsRune("._-", r)
}

// checkRepeated reports names that occur more than once in a list. A repeated name
// would put an endpoint into a pool twice.
func checkRepeated(problems *Problems, path string, names []string) {
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			problems.add(fmt.Sprintf("%s[%d]", path, i), "%q appears twice", name)
		}
	}
}
