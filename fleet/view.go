package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sort"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// keyDigestBytes is the length of the digest of an API key.
const keyDigestBytes = sha256.Size

// DefaultDrainTime is the time that requests in flight on withdrawn endpoints may take
// if the note that withdraws them does not set it.
const DefaultDrainTime = 300 * time.Second

// Pool is the set of endpoints that may serve a model, an adapter or a version of a
// model, or a service. It does not contain withdrawn endpoints.
type Pool struct {
	// Name is model, model:adapter, model@version or the id of a service. The pool with
	// the name model alone is the model's default pool.
	Name string
	// Endpoints is sorted by id and must not be modified.
	Endpoints []*api.Endpoint
}

// View is an immutable index of one state for the request path. It is safe for
// concurrent use, and lookups of single items do not allocate.
type View struct {
	state              State
	workspacesByDigest map[[keyDigestBytes]byte]*api.Workspace
	workspacesByID     map[string]*api.Workspace
	endpoints          map[string]*api.Endpoint
	withdrawn          map[string]bool
	models             map[string]*api.Model
	services           map[string]*api.Service
	pools              map[string]*Pool
	servicePools       map[string]*Pool
}

// NewView builds the index of a state.
func NewView(s State) *View {
	v := &View{
		state:              s,
		workspacesByDigest: make(map[[keyDigestBytes]byte]*api.Workspace, len(s.Workspaces)),
		workspacesByID:     make(map[string]*api.Workspace, len(s.Workspaces)),
		endpoints:          make(map[string]*api.Endpoint, len(s.Endpoints)),
		withdrawn:          map[string]bool{},
		models:             make(map[string]*api.Model, len(s.Models)),
		services:           make(map[string]*api.Service, len(s.Services)),
		pools:              map[string]*Pool{},
		servicePools:       make(map[string]*Pool, len(s.Services)),
	}
	v.indexWorkspaces()
	v.indexPools()
	return v
}

func (v *View) indexWorkspaces() {
	for i := range v.state.Workspaces {
		w := &v.state.Workspaces[i]
		v.workspacesByID[w.ID] = w
		var sum [keyDigestBytes]byte
		if n, err := hex.Decode(sum[:], []byte(w.KeySha256)); err == nil && n == len(sum) && !w.Withdrawn {
			v.workspacesByDigest[sum] = w
		}
	}
}

func (v *View) indexPools() {
	zoneWithdrawn := make(map[string]bool, len(v.state.Zones))
	for _, z := range v.state.Zones {
		zoneWithdrawn[z.ID] = z.Withdrawn
	}
	for i := range v.state.Models {
		m := &v.state.Models[i]
		v.models[m.ID] = m
		v.createModelPools(m)
	}
	for i := range v.state.Services {
		s := &v.state.Services[i]
		v.services[s.ID] = s
		v.servicePools[s.ID] = &Pool{Name: s.ID}
	}
	for i := range v.state.Endpoints {
		e := &v.state.Endpoints[i]
		v.endpoints[e.ID] = e
		if e.Withdrawn || zoneWithdrawn[e.Zone] || !v.addToPools(e) {
			v.withdrawn[e.ID] = true
		}
	}
}

// createModelPools creates the empty pools of a model, its default version and its
// adapters.
func (v *View) createModelPools(m *api.Model) {
	v.pools[m.ID] = &Pool{Name: m.ID}
	if m.Version != "" {
		v.getOrCreateVersionPool(m.ID, m.Version)
	}
	for _, adapter := range m.Adapters {
		name := m.ID + ":" + adapter
		v.pools[name] = &Pool{Name: name}
	}
}

func (v *View) getOrCreateVersionPool(model, version string) *Pool {
	name := model + "@" + version
	pool := v.pools[name]
	if pool == nil {
		pool = &Pool{Name: name}
		v.pools[name] = pool
	}
	return pool
}

// addToPools adds an endpoint to its pools. It returns false if everything that the
// endpoint serves is withdrawn.
func (v *View) addToPools(e *api.Endpoint) bool {
	if e.Service != "" {
		pool, service := v.servicePools[e.Service], v.services[e.Service]
		if pool == nil || service.Withdrawn {
			return false
		}
		pool.Endpoints = append(pool.Endpoints, e)
		return true
	}
	added := false
	for _, id := range e.Models {
		if m := v.models[id]; m != nil && v.addToModelPools(e, m) {
			added = true
		}
	}
	return added
}

// addToModelPools adds an endpoint to the pools of one of its models. It returns false
// if the model, or the version that the endpoint serves, is withdrawn.
func (v *View) addToModelPools(e *api.Endpoint, m *api.Model) bool {
	version := e.Version
	if version == "" {
		version = m.Version
	}
	if m.Withdrawn || slices.Contains(m.WithdrawnVersions, version) {
		return false
	}
	if version != "" {
		pool := v.getOrCreateVersionPool(m.ID, version)
		pool.Endpoints = append(pool.Endpoints, e)
	}
	// A model without a default version uses endpoints of every version.
	if m.Version != "" && m.Version != version {
		return true
	}
	pool := v.pools[m.ID]
	pool.Endpoints = append(pool.Endpoints, e)
	for _, adapter := range m.Adapters {
		if slices.Contains(e.Adapters, adapter) && !slices.Contains(m.WithdrawnAdapters, adapter) {
			pool := v.pools[m.ID+":"+adapter]
			pool.Endpoints = append(pool.Endpoints, e)
		}
	}
	return true
}

// State returns the state that the view was built from. It must not be modified.
func (v *View) State() State { return v.state }

// Revision returns the revision of the state.
func (v *View) Revision() uint64 { return v.state.Revision }

// WorkspaceByKey returns the workspace with the API key, unless it is withdrawn. The
// lookup compares digests of keys, so its duration does not reveal how many leading
// characters of a wrong key are right.
func (v *View) WorkspaceByKey(key string) (*api.Workspace, bool) {
	return v.WorkspaceByDigest(sha256.Sum256([]byte(key)))
}

// WorkspaceByDigest returns the workspace whose API key has the SHA-256 digest,
// unless it is withdrawn.
func (v *View) WorkspaceByDigest(sum [sha256.Size]byte) (*api.Workspace, bool) {
	w, ok := v.workspacesByDigest[sum]
	return w, ok
}

// Workspace returns a workspace by id, even if it is withdrawn.
func (v *View) Workspace(id string) (*api.Workspace, bool) {
	w, ok := v.workspacesByID[id]
	return w, ok
}

// Model returns a model by id, even if it is withdrawn.
func (v *View) Model(id string) (*api.Model, bool) {
	m, ok := v.models[id]
	return m, ok
}

// Service returns a service by id, even if it is withdrawn.
func (v *View) Service(id string) (*api.Service, bool) {
	s, ok := v.services[id]
	return s, ok
}

// Pool returns the pool of model, model:adapter or model@version. The pool of a known
// model, adapter or default version that is withdrawn is empty; ok is false for an
// unknown name.
func (v *View) Pool(name string) (pool *Pool, ok bool) {
	pool, ok = v.pools[name]
	return pool, ok
}

// ServicePool returns the pool of a service.
func (v *View) ServicePool(service string) (pool *Pool, ok bool) {
	pool, ok = v.servicePools[service]
	return pool, ok
}

// Endpoint returns an endpoint by id, even if it is withdrawn.
func (v *View) Endpoint(id string) (*api.Endpoint, bool) {
	e, ok := v.endpoints[id]
	return e, ok
}

// EndpointWithdrawn reports whether an endpoint must get no new requests because the
// endpoint itself, its zone or instance, its service, or all models and versions
// that it serves are withdrawn. An unknown endpoint counts as withdrawn.
func (v *View) EndpointWithdrawn(id string) bool {
	if v.withdrawn[id] {
		return true
	}
	_, ok := v.endpoints[id]
	return !ok
}

// Pools returns all pools: those of models sorted by name, then those of services
// sorted by name.
func (v *View) Pools() []*Pool {
	all := sortedPools(v.pools)
	return append(all, sortedPools(v.servicePools)...)
}

func sortedPools(pools map[string]*Pool) []*Pool {
	list := make([]*Pool, 0, len(pools))
	for _, pool := range pools {
		list = append(list, pool)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// DrainTime returns the time that requests in flight on withdrawn endpoints may take, as
// set by the newest note with withdrawals, or DefaultDrainTime if it sets none.
func (v *View) DrainTime() time.Duration {
	if v.state.DrainSeconds == 0 {
		return DefaultDrainTime
	}
	return time.Duration(v.state.DrainSeconds) * time.Second
}
