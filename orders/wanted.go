package orders

import (
	"slices"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
)

// wanted is what release notes want on one endpoint.
type wanted struct {
	endpoint *api.Endpoint
	// load must be present, keep may be: it is withdrawn but may still drain.
	load, keep                 []string
	loadAdapters, keepAdapters []string
	version                    string
	// versionModel is the model named in an order for the version.
	versionModel string
	conflict     bool
}

// wantedOn returns false for endpoints that get no orders.
func wantedOn(view *fleet.View, e *api.Endpoint) (wanted, bool) {
	if e.Service != "" || view.EndpointWithdrawn(e.ID) {
		return wanted{}, false
	}
	w := wanted{endpoint: e, version: e.Version}
	for _, id := range e.Models {
		m, ok := view.Model(id)
		if !ok || m.Withdrawn {
			w.keep = append(w.keep, id)
			continue
		}
		w.load = append(w.load, id)
		w.addVersion(m)
	}
	for _, adapter := range e.Adapters {
		if w.adapterInUse(view, adapter) {
			w.loadAdapters = append(w.loadAdapters, adapter)
		} else {
			w.keepAdapters = append(w.keepAdapters, adapter)
		}
	}
	return w, true
}

// addVersion takes the version of a model for an endpoint that names none. An
// endpoint has one version, so models must agree on it.
func (w *wanted) addVersion(m *api.Model) {
	if w.versionModel == "" && (w.endpoint.Version != "" || m.Version != "") {
		w.versionModel = m.ID
	}
	if w.endpoint.Version != "" || m.Version == "" {
		return
	}
	w.conflict = w.conflict || w.version != "" && w.version != m.Version
	w.version = m.Version
}

func (w *wanted) adapterInUse(view *fleet.View, adapter string) bool {
	for _, id := range w.load {
		m, _ := view.Model(id)
		if slices.Contains(m.Adapters, adapter) && !slices.Contains(m.WithdrawnAdapters, adapter) {
			return true
		}
	}
	return false
}

// next returns the first order that the report calls for, without id and
// fencing number, and false when the report shows all that is wanted.
func (w *wanted) next(r *api.LoadReport) (api.Order, bool) {
	if id, ok := lacking(w.load, r.Models, nil); ok {
		return api.Order{Kind: api.OrderKindLoadModel, Model: id, Version: w.version}, true
	}
	if w.version != "" && w.version != r.Version {
		return api.Order{Kind: api.OrderKindLoadVersion, Model: w.versionModel, Version: w.version}, true
	}
	if id, ok := lacking(w.loadAdapters, r.Adapters, nil); ok {
		return api.Order{Kind: api.OrderKindLoadAdapter, Adapter: id}, true
	}
	if id, ok := lacking(r.Adapters, w.loadAdapters, w.keepAdapters); ok {
		return api.Order{Kind: api.OrderKindUnloadAdapter, Adapter: id}, true
	}
	if id, ok := lacking(r.Models, w.load, w.keep); ok {
		return api.Order{Kind: api.OrderKindUnloadModel, Model: id}, true
	}
	return api.Order{}, false
}

// lacking returns the first of names that is in neither list.
func lacking(names, a, b []string) (string, bool) {
	for _, name := range names {
		if !slices.Contains(a, name) && !slices.Contains(b, name) {
			return name, true
		}
	}
	return "", false
}

func isLoad(kind api.OrderKind) bool {
	switch kind {
	case api.OrderKindLoadModel, api.OrderKindLoadAdapter, api.OrderKindLoadVersion:
		return true
	}
	return false
}

// shows says whether a report has the effect of an order.
func shows(r *api.LoadReport, o api.Order) bool {
	switch o.Kind {
	case api.OrderKindLoadModel:
		return slices.Contains(r.Models, o.Model)
	case api.OrderKindLoadAdapter:
		return slices.Contains(r.Adapters, o.Adapter)
	case api.OrderKindLoadVersion:
		return r.Version == o.Version
	case api.OrderKindUnloadAdapter:
		return !slices.Contains(r.Adapters, o.Adapter)
	case api.OrderKindUnloadModel:
		return !slices.Contains(r.Models, o.Model)
	case api.OrderKindSetRole:
		return r.Role == o.Role
	}
	return false
}

func subject(o api.Order) string {
	switch o.Kind {
	case api.OrderKindLoadVersion:
		return o.Model + "@" + o.Version
	case api.OrderKindLoadAdapter, api.OrderKindUnloadAdapter:
		return o.Adapter
	}
	return o.Model
}
