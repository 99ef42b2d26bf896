// Package api holds the types of settings, release notes, messages between routers and
// to endpoints, and stored objects. They are generated from the JSON Schema files under
// schema/.
package api
