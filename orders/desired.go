package orders

import (
	"slices"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
)

// desired is the desired state of one endpoint.
type desired struct {
	endpoint *api.Endpoint
	// required models must be loaded. allowed models may stay loaded: they are
	// withdrawn, but requests on them may still be draining. The same holds for
	// adapters.
	required, allowed                 []string
	requiredAdapters, allowedAdapters []string
	version                           string
	// versionModel is the id of the model that an order to load the desired version must
	// name. It is the first model for which the endpoint or the model itself specifies a
	// version.
	versionModel string
	// conflict is true if the models have different default versions and the endpoint
	// specifies none.
	conflict bool
}

// desiredFor returns the desired state of an endpoint, and false for endpoints that get
// no orders: those of services and withdrawn ones.
func desiredFor(view *fleet.View, e *api.Endpoint) (desired, bool) {
	if e.Service != "" || view.EndpointWithdrawn(e.ID) {
		return desired{}, false
	}
	d := desired{endpoint: e, version: e.Version}
	for _, id := range e.Models {
		m, ok := view.Model(id)
		if !ok || m.Withdrawn {
			d.allowed = append(d.allowed, id)
			continue
		}
		d.required = append(d.required, id)
		d.addVersion(m)
	}
	for _, adapter := range e.Adapters {
		if d.adapterInUse(view, adapter) {
			d.requiredAdapters = append(d.requiredAdapters, adapter)
		} else {
			d.allowedAdapters = append(d.allowedAdapters, adapter)
		}
	}
	return d, true
}

// addVersion uses the default version of a model for an endpoint that specifies no
// version. An endpoint has one version, so its models must agree on it.
func (d *desired) addVersion(m *api.Model) {
	if d.versionModel == "" && (d.endpoint.Version != "" || m.Version != "") {
		d.versionModel = m.ID
	}
	if d.endpoint.Version != "" || m.Version == "" {
		return
	}
	d.conflict = d.conflict || d.version != "" && d.version != m.Version
	d.version = m.Version
}

// adapterInUse reports whether a required model lists the adapter and has not withdrawn
// it.
func (d *desired) adapterInUse(view *fleet.View, adapter string) bool {
	for _, id := range d.required {
		m, _ := view.Model(id)
		if slices.Contains(m.Adapters, adapter) && !slices.Contains(m.WithdrawnAdapters, adapter) {
			return true
		}
	}
	return false
}

// nextOrder returns the first order that brings the endpoint closer to its desired state,
// without id and fencing number, and false if the report matches that state.
func (d *desired) nextOrder(r *api.LoadReport) (api.Order, bool) {
	if id, ok := firstNotIn(d.required, r.Models, nil); ok {
		return api.Order{Kind: api.OrderKindLoadModel, Model: id, Version: d.version}, true
	}
	if d.version != "" && d.version != r.Version {
		return api.Order{Kind: api.OrderKindLoadVersion, Model: d.versionModel, Version: d.version}, true
	}
	if id, ok := firstNotIn(d.requiredAdapters, r.Adapters, nil); ok {
		return api.Order{Kind: api.OrderKindLoadAdapter, Adapter: id}, true
	}
	if id, ok := firstNotIn(r.Adapters, d.requiredAdapters, d.allowedAdapters); ok {
		return api.Order{Kind: api.OrderKindUnloadAdapter, Adapter: id}, true
	}
	if id, ok := firstNotIn(r.Models, d.required, d.allowed); ok {
		return api.Order{Kind: api.OrderKindUnloadModel, Model: id}, true
	}
	return api.Order{}, false
}

// firstNotIn returns the first of names that is in neither list.
func firstNotIn(names, a, b []string) (string, bool) {
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

// showsEffect reports whether a report shows the effect of an order.
func showsEffect(r *api.LoadReport, o api.Order) bool {
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

// target returns the model, model@version or adapter that an order names.
func target(o api.Order) string {
	switch o.Kind {
	case api.OrderKindLoadVersion:
		return o.Model + "@" + o.Version
	case api.OrderKindLoadAdapter, api.OrderKindUnloadAdapter:
		return o.Adapter
	}
	return o.Model
}
