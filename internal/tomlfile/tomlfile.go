// Package tomlfile decodes TOML strictly and reports every problem with the
// file and the line it stands on. It serves the daemon's settings and the
// operators' configuration alike.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is one problem in one file. Line is 1-based; 0 means the whole file.
type Error struct {
	File   string
	Line   int
	Key    string // dotted key, empty when the problem has none
	Reason string
}

// Error implements error as "file:line: key: reason".
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	b.WriteString(": ")
	if e.Key != "" {
		b.WriteString(e.Key + ": ")
	}
	b.WriteString(e.Reason)
	return b.String()
}

// Errors is every problem found, in the order met.
type Errors []*Error

// Error implements error, one problem a line.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns nil for no problems, so that a typed nil never escapes.
func (es Errors) Err() error {
	if len(es) == 0 {
		return nil
	}
	return es
}

// Index maps a key path such as "customer[0].limits.requests" to its line.
type Index struct {
	File  string
	lines map[string]int
}

// Line returns the line of path, or of its nearest enclosing table.
func (ix *Index) Line(path string) int {
	for path != "" {
		if n, ok := ix.lines[path]; ok {
			return n
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 0
		}
		path = path[:cut]
	}
	return 0
}

// At builds the error for path.
func (ix *Index) At(path, reason string) *Error {
	return &Error{File: ix.File, Line: ix.Line(path), Key: path, Reason: reason}
}

// Decode parses data into v, which must be a pointer to a struct. Unknown keys
// are errors. On success the field rules in `validate` tags are checked too.
func Decode(file string, data []byte, v any) (*Index, error) {
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return nil, decodeErrors(file, err)
	}
	ix := index(file, data)
	if errs := check(ix, v); len(errs) > 0 {
		return ix, errs
	}
	return ix, nil
}

func decodeErrors(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out Errors
		for i := range strict.Errors {
			line, _ := strict.Errors[i].Position()
			key := strings.Join(strict.Errors[i].Key(), ".")
			out = append(out, &Error{File: file, Line: line, Key: key, Reason: "unknown key"})
		}
		return out
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		reason := strings.TrimPrefix(bad.Error(), "toml: ")
		return Errors{{File: file, Line: line, Key: strings.Join(bad.Key(), "."), Reason: reason}}
	}
	return Errors{{File: file, Reason: err.Error()}}
}

// index records the line of every table header and key.
func index(file string, data []byte) *Index {
	ix := &Index{File: file, lines: map[string]int{}}
	counts := map[string]int{}
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.ArrayTable:
			base, line := resolve(&p, e, counts)
			n := counts[base]
			counts[base] = n + 1
			table = base + "[" + strconv.Itoa(n) + "]"
			ix.lines[table] = line
		case unstable.Table:
			var line int
			table, line = resolve(&p, e, counts)
			ix.lines[table] = line
		case unstable.KeyValue:
			key, line := joinKey(&p, e)
			if table != "" {
				key = table + "." + key
			}
			ix.lines[key] = line
		}
	}
	return ix
}

// resolve turns a header such as model.version into model[2].version, using
// the last element of every array table above it.
func resolve(p *unstable.Parser, e *unstable.Node, counts map[string]int) (string, int) {
	path, line := "", 0
	it := e.Key()
	for it.Next() {
		if n := counts[path]; path != "" && n > 0 {
			path += "[" + strconv.Itoa(n-1) + "]"
		}
		if path != "" {
			path += "."
		}
		path += string(it.Node().Data)
		if line == 0 {
			line = p.Shape(it.Node().Raw).Start.Line
		}
	}
	return path, line
}

func joinKey(p *unstable.Parser, e *unstable.Node) (string, int) {
	var parts []string
	line := 0
	it := e.Key()
	for it.Next() {
		parts = append(parts, string(it.Node().Data))
		if line == 0 {
			line = p.Shape(it.Node().Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}

var rules = newRules()

func newRules() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		return name
	})
	mustRegister(v, "name", isName)
	mustRegister(v, "address", func(fl validator.FieldLevel) bool { return isAddress(fl.Field().String(), 1) })
	mustRegister(v, "listen", func(fl validator.FieldLevel) bool { return isAddress(fl.Field().String(), 0) })
	return v
}

func mustRegister(v *validator.Validate, tag string, fn validator.Func) {
	if err := v.RegisterValidation(tag, fn); err != nil {
		panic(err) // a rule name that the library refuses is a programming error
	}
}

// isAddress accepts host:port with a port from least up.
func isAddress(s string, least int) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= least && n <= 65535
}

// maxName bounds every operator-chosen name, in bytes.
const maxName = 63

// isName accepts lower-case letters, digits, '-', '.' and '_': names become
// parts of object keys, file names and metric labels.
func isName(fl validator.FieldLevel) bool {
	s := fl.Field().String()
	if s == "" || len(s) > maxName {
		return false
	}
	for _, r := range s {
		ok := r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '.' || r == '_'
		if !ok {
			return false
		}
	}
	return true
}

func check(ix *Index, v any) Errors {
	err := rules.Struct(v)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return nil
	}
	var out Errors
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		out = append(out, ix.At(path, reason(f)))
	}
	return out
}

func reason(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is required"
	case "name":
		return fmt.Sprintf("%q is not a name (a-z, 0-9, '-', '.', '_'; 1 to %d characters)", f.Value(), maxName)
	case "min", "gte":
		return "must be at least " + f.Param()
	case "max", "lte":
		return "must be at most " + f.Param()
	case "oneof":
		return fmt.Sprintf("%q is not one of: %s", f.Value(), f.Param())
	case "address", "listen":
		return fmt.Sprintf("%q is not an address (host:port)", f.Value())
	case "len", "hexadecimal":
		return "must be " + f.Tag() + " " + f.Param()
	}
	return "fails the rule " + f.Tag() + " " + f.Param()
}
