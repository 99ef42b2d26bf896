package notes

import (
	"bytes"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/hornbeamproxy/hornbeamproxy/fleet"
)

// keyChecker finds the keys of a TOML document for which a Go type has no field.
// The decoder's strict mode finds them too, but takes 74 s for 20,000 unknown keys
// in one file, because it rescans the file for each of them.
type keyChecker struct {
	parser   unstable.Parser
	data     []byte
	line     int // line number of offset
	offset   int
	problems fleet.Problems
}

// unknownKeys lists the keys of a syntactically valid document that the type lacks.
// Keys are case-sensitive.
func unknownKeys(data []byte, root reflect.Type) fleet.Problems {
	c := &keyChecker{data: data, line: 1}
	c.parser.Reset(data)
	table, prefix := root, ""
	for c.parser.NextExpression() {
		e := c.parser.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table, prefix = c.resolveKey(root, "", e.Key())
		case unstable.KeyValue:
			c.checkKeyValue(table, prefix, e)
		}
	}
	return c.problems
}

// checkKeyValue checks a key and the inline tables in its value. A nil table means
// that the enclosing key is unknown and already reported, or is not a table; nothing
// in it is reported.
func (c *keyChecker) checkKeyValue(table reflect.Type, prefix string, e *unstable.Node) {
	t, path := c.resolveKey(table, prefix, e.Key())
	c.checkValue(t, path, e.Value())
}

// checkValue checks the keys of the inline tables in a value of type t, also those
// in arrays.
func (c *keyChecker) checkValue(t reflect.Type, path string, value *unstable.Node) {
	if t == nil || (value.Kind != unstable.InlineTable && value.Kind != unstable.Array) {
		return
	}
	children := value.Children()
	for children.Next() {
		child := children.Node()
		if child.Kind == unstable.KeyValue {
			c.checkKeyValue(t, path, child)
		} else {
			c.checkValue(t, path, child)
		}
	}
}

// resolveKey follows a dotted key from a type and returns the type and path that it
// leads to. The type is nil if the key is unknown or is not a table. Unknown parts
// are reported.
func (c *keyChecker) resolveKey(t reflect.Type, prefix string, key unstable.Iterator) (reflect.Type, string) {
	path := prefix
	for key.Next() {
		node := key.Node()
		path = strings.TrimPrefix(path+"."+string(node.Data), ".")
		if t == nil {
			continue
		}
		field, found := fieldType(t, string(node.Data))
		if !found {
			c.problems = append(c.problems, fleet.Problem{Line: c.lineOf(int(node.Raw.Offset)), Path: path, Text: "unknown key"})
		}
		t = field
	}
	return t, path
}

// lineOf returns the line number of an offset. It counts only the lines since the
// previous offset, because keys are visited in the order of the document.
func (c *keyChecker) lineOf(offset int) int {
	if offset > c.offset {
		c.line += bytes.Count(c.data[c.offset:offset], []byte("\n"))
		c.offset = offset
	}
	return c.line
}

// fieldType returns the struct type of the field with the TOML key, with pointers
// and slices removed; nil if the field is not a table. It returns false if there is no
// such field.
func fieldType(t reflect.Type, key string) (reflect.Type, bool) {
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if name != key {
			continue
		}
		field := t.Field(i).Type
		for field.Kind() == reflect.Pointer || field.Kind() == reflect.Slice {
			field = field.Elem()
		}
		if field.Kind() != reflect.Struct {
			return nil, true
		}
		return field, true
	}
	return nil, false
}
