package notes

import (
	"bytes"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/hornbeamproxy/hornbeamproxy/fleet"
)

// keyChecker finds the keys of a document that a Go type has no field for. The
// strict mode of the decoder also does, but needs 74 s for 20,000 unknown keys
// in one file, because it scans the file again for each.
type keyChecker struct {
	parser   unstable.Parser
	data     []byte
	line     int // of offset
	offset   int
	problems fleet.Problems
}

// unknownKeys lists the keys of a valid document that the type lacks. Keys must
// be written as in the schema, also in case.
func unknownKeys(data []byte, root reflect.Type) fleet.Problems {
	c := &keyChecker{data: data, line: 1}
	c.parser.Reset(data)
	table, prefix := root, ""
	for c.parser.NextExpression() {
		e := c.parser.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table, prefix = c.resolve(root, "", e.Key())
		case unstable.KeyValue:
			c.keyValue(table, prefix, e)
		}
	}
	return c.problems
}

// keyValue checks a key and the inline tables in its value. A nil table stands
// for a part of the document that was reported already.
func (c *keyChecker) keyValue(table reflect.Type, prefix string, e *unstable.Node) {
	t, path := c.resolve(table, prefix, e.Key())
	c.value(t, path, e.Value())
}

func (c *keyChecker) value(t reflect.Type, path string, value *unstable.Node) {
	if t == nil || (value.Kind != unstable.InlineTable && value.Kind != unstable.Array) {
		return
	}
	children := value.Children()
	for children.Next() {
		child := children.Node()
		if child.Kind == unstable.KeyValue {
			c.keyValue(t, path, child)
		} else {
			c.value(t, path, child)
		}
	}
}

// resolve follows a dotted key from a type. It returns nil for a key that is
// unknown, or that does not lead to a table.
func (c *keyChecker) resolve(t reflect.Type, prefix string, key unstable.Iterator) (reflect.Type, string) {
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

// lineOf counts on from the last offset, since keys come in the order of the
// document.
func (c *keyChecker) lineOf(offset int) int {
	if offset > c.offset {
		c.line += bytes.Count(c.data[c.offset:offset], []byte("\n"))
		c.offset = offset
	}
	return c.line
}

// fieldType returns the table type behind a field, without pointers and slices;
// nil for a plain value.
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
