// Package api holds the types of settings, release notes, messages and stored
// objects. They are generated from the JSON Schema files under schema/.
package api
