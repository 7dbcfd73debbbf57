// Package tomlfile decodes TOML strictly and reports every error with its file
// and line. It is used for the daemon's settings and for the configuration.
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

// Error is one error in a file. Line is 1-based; 0 means the whole file.
type Error struct {
	File   string
	Line   int
	Key    string // dotted key path, empty if the error concerns no key
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

// Errors lists all errors found, in the order of detection.
type Errors []*Error

// Error implements error, with one error per line.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns es as an error, or nil if es is empty. A plain conversion of an
// empty list would give a non-nil error.
func (es Errors) Err() error {
	if len(es) == 0 {
		return nil
	}
	return es
}

// Index maps key paths such as "customer[0].limits.requests" to line numbers.
type Index struct {
	File  string
	lines map[string]int
}

// Line returns the line of path or of its nearest enclosing table, and 0 if
// there is neither.
func (ix *Index) Line(path string) int {
	for path != "" {
		if n, ok := ix.lines[path]; ok {
			return n
		}
		end := strings.LastIndexAny(path, ".[")
		if end < 0 {
			return 0
		}
		path = path[:end]
	}
	return 0
}

// ErrorAt returns an Error for the key path, with its file and line.
func (ix *Index) ErrorAt(path, reason string) *Error {
	return &Error{File: ix.File, Line: ix.Line(path), Key: path, Reason: reason}
}

// Decode parses data into v, which must be a pointer to a struct, and checks the
// rules in the fields' `validate` tags. Unknown keys are errors. Errors are of
// type Errors.
func Decode(file string, data []byte, v any) (*Index, error) {
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return nil, decodeErrors(file, err)
	}
	ix := newIndex(file, data)
	if errs := validate(ix, v); len(errs) > 0 {
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
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, _ := decodeError.Position()
		reason := strings.TrimPrefix(decodeError.Error(), "toml: ")
		return Errors{{File: file, Line: line, Key: strings.Join(decodeError.Key(), "."), Reason: reason}}
	}
	return Errors{{File: file, Reason: err.Error()}}
}

// newIndex builds the index of all table headers and keys in data.
func newIndex(file string, data []byte) *Index {
	ix := &Index{File: file, lines: map[string]int{}}
	counts := map[string]int{}
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.ArrayTable:
			base, line := resolveHeader(&p, e, counts)
			n := counts[base]
			counts[base] = n + 1
			table = base + "[" + strconv.Itoa(n) + "]"
			ix.lines[table] = line
		case unstable.Table:
			var line int
			table, line = resolveHeader(&p, e, counts)
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

// resolveHeader converts a header such as model.version to a key path such as
// model[2].version: every array table in it stands for its latest element. It
// also returns the header's line.
func resolveHeader(p *unstable.Parser, e *unstable.Node, counts map[string]int) (string, int) {
	path, line := "", 0
	keyParts := e.Key()
	for keyParts.Next() {
		if n := counts[path]; path != "" && n > 0 {
			path += "[" + strconv.Itoa(n-1) + "]"
		}
		if path != "" {
			path += "."
		}
		path += string(keyParts.Node().Data)
		if line == 0 {
			line = p.Shape(keyParts.Node().Raw).Start.Line
		}
	}
	return path, line
}

// joinKey returns the dotted key of a key-value pair and its line.
func joinKey(p *unstable.Parser, e *unstable.Node) (string, int) {
	var parts []string
	line := 0
	keyParts := e.Key()
	for keyParts.Next() {
		parts = append(parts, string(keyParts.Node().Data))
		if line == 0 {
			line = p.Shape(keyParts.Node().Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}

var fieldValidator = newFieldValidator()

func newFieldValidator() *validator.Validate {
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
		panic(err) // an invalid tag is a programming error
	}
}

// isAddress reports whether s is host:port with a port of at least minPort.
func isAddress(s string, minPort int) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= minPort && n <= 65535
}

// maxNameBytes is the maximum length of names in settings and configuration.
const maxNameBytes = 63

// isName accepts lower-case letters, digits, '-', '.' and '_', because names are
// used in object keys, file names and metric labels.
func isName(fl validator.FieldLevel) bool {
	s := fl.Field().String()
	if s == "" || len(s) > maxNameBytes {
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

func validate(ix *Index, v any) Errors {
	err := fieldValidator.Struct(v)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return nil
	}
	var out Errors
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		out = append(out, ix.ErrorAt(path, violation(f)))
	}
	return out
}

// violation returns the reason to report for a field that fails a rule.
func violation(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is required"
	case "name":
		return fmt.Sprintf("%q is not a name (a-z, 0-9, '-', '.', '_'; 1 to %d characters)", f.Value(), maxNameBytes)
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
