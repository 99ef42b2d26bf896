package config

import (
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// decoder fills the settings field by field and collects the problems. go-toml's
// strict mode stops at the first value of a wrong type and would not report
// later problems.
type decoder struct {
	file     string
	text     []byte
	lines    map[string]int // line of each key, by dotted key
	problems []Problem
}

var durationType = reflect.TypeOf(api.Duration{})

func newDecoder(file string, text []byte) *decoder {
	return &decoder{file: file, text: text, lines: keyLines(text)}
}

func (d *decoder) decode(settings *api.Settings) {
	var values map[string]any
	if err := toml.Unmarshal(d.text, &values); err != nil {
		d.addSyntaxError(err)
		return
	}
	d.decodeTable("", values, reflect.ValueOf(settings).Elem())
}

func (d *decoder) addSyntaxError(err error) {
	problem := Problem{File: d.file, Key: "syntax", Text: err.Error()}
	var position *toml.DecodeError
	if errors.As(err, &position) {
		problem.Line, _ = position.Position()
	}
	d.problems = append(d.problems, problem)
}

func (d *decoder) decodeTable(prefix string, values map[string]any, target reflect.Value) {
	fields := fieldsByTag(target)
	for _, name := range sortedKeys(values) {
		key := prefix + name
		field, ok := fields[name]
		if !ok {
			d.addProblem(key, "unknown key")
			continue
		}
		d.decodeValue(key, values[name], field)
	}
}

func (d *decoder) decodeValue(key string, value any, field reflect.Value) {
	if field.Kind() == reflect.Pointer {
		field = field.Elem()
	}
	switch {
	case field.Type() == durationType:
		d.decodeDuration(key, value, field)
	case field.Kind() == reflect.Struct:
		table, ok := value.(map[string]any)
		if !ok {
			d.addProblem(key, "must be a table")
			return
		}
		d.decodeTable(key+".", table, field)
	case field.Kind() == reflect.Slice:
		d.decodeStrings(key, value, field)
	default:
		d.decodeScalar(key, value, field)
	}
}

func (d *decoder) decodeDuration(key string, value any, field reflect.Value) {
	text, ok := value.(string)
	if !ok {
		d.addProblem(key, `must be a duration in quotes, such as "150ms"`)
		return
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		d.addProblem(key, fmt.Sprintf("%q is not a duration such as \"150ms\"", text))
		return
	}
	if duration <= 0 {
		d.addProblem(key, "must be longer than 0")
		return
	}
	field.Set(reflect.ValueOf(api.Duration{Duration: duration}))
}

func (d *decoder) decodeStrings(key string, value any, field reflect.Value) {
	list, ok := value.([]any)
	if !ok {
		d.addProblem(key, "must be a list of strings")
		return
	}
	var texts []string
	for _, element := range list {
		text, ok := element.(string)
		if !ok {
			d.addProblem(key, "must be a list of strings")
			return
		}
		texts = append(texts, text)
	}
	field.Set(reflect.ValueOf(texts))
}

func (d *decoder) decodeScalar(key string, value any, field reflect.Value) {
	switch typed := value.(type) {
	case string:
		if field.Kind() == reflect.String {
			field.SetString(typed)
			return
		}
	case int64:
		// A zero is rejected, because applyDefaults would take it for an absent value and
		// replace it by the default.
		if typed == 0 && field.Kind() != reflect.String {
			d.addProblem(key, "must be larger than 0")
			return
		}
		if field.Kind() == reflect.Int {
			field.SetInt(typed)
			return
		}
		if field.Kind() == reflect.Float64 {
			field.SetFloat(float64(typed))
			return
		}
	case float64:
		if typed <= 0 {
			d.addProblem(key, "must be larger than 0")
			return
		}
		if field.Kind() == reflect.Float64 {
			field.SetFloat(typed)
			return
		}
	}
	d.addProblem(key, fmt.Sprintf("must be a %s", kindName(field.Kind())))
}

func kindName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "string"
	case reflect.Int:
		return "whole number"
	default:
		return "number"
	}
}

func (d *decoder) addProblem(key, text string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: d.lines[key], Key: key, Text: text})
}

func fieldsByTag(target reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range target.NumField() {
		name, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("toml"), ",")
		fields[name] = target.Field(i)
	}
	return fields
}

func sortedKeys(values map[string]any) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// keyLines maps each dotted key of the file to its line. It stops without an
// error at a syntax error, which decode reports.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	var parser unstable.Parser
	parser.Reset(text)
	prefix := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		key, line := dottedKey(&parser, expression)
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = key + "."
			lines[key] = line
		case unstable.KeyValue:
			lines[prefix+key] = line
		}
	}
	return lines
}

func dottedKey(parser *unstable.Parser, expression *unstable.Node) (string, int) {
	var parts []string
	line := 0
	keys := expression.Key()
	for keys.Next() {
		node := keys.Node()
		parts = append(parts, string(node.Data))
		if line == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}
