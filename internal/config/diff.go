package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// Edit is one difference between two bundles.
type Edit struct {
	Op     string   `json:"op"` // OpAdd, OpRemove or OpChange
	Kind   string   `json:"kind"`
	Name   string   `json:"name"`
	Fields []string `json:"fields,omitempty"` // JSON names of the fields that differ; only for OpChange
}

// Operations of an Edit.
const (
	OpAdd    = "+"
	OpRemove = "-"
	OpChange = "~"
)

// String formats the edit on one line, such as "~ target t1: zone".
func (e Edit) String() string {
	s := e.Op + " " + e.Kind + " " + e.Name
	if len(e.Fields) > 0 {
		s += ": " + strings.Join(e.Fields, ", ")
	}
	return s
}

type entryKey struct{ kind, name string }

// entries returns all entries of the bundle by kind and name.
func (b *Bundle) entries() map[entryKey]any {
	out := map[entryKey]any{}
	for _, v := range b.Customers {
		out[entryKey{"customer", v.Name}] = v
	}
	for _, v := range b.Models {
		out[entryKey{"model", v.Name}] = v
	}
	for _, v := range b.Targets {
		out[entryKey{"target", v.Name}] = v
	}
	for _, v := range b.Services {
		out[entryKey{"service", v.Name}] = v
	}
	for _, v := range b.Stores {
		out[entryKey{"store", v.Name}] = v
	}
	for _, v := range b.Operators {
		out[entryKey{"operator", v.Name}] = v
	}
	if b.Policy != nil {
		out[entryKey{"policy", "policy"}] = *b.Policy
	}
	return out
}

// HasMachine reports whether a target, store or service instance has that name.
func (b *Bundle) HasMachine(name string) bool {
	for _, t := range b.Targets {
		if t.Name == name {
			return true
		}
	}
	for _, s := range b.Stores {
		if s.Name == name {
			return true
		}
	}
	for _, s := range b.Services {
		for _, i := range s.Instances {
			if i.Name == name {
				return true
			}
		}
	}
	return false
}

// Diff lists the edits that turn one bundle into the other, sorted by kind and
// name. It omits values because some are secret.
func Diff(from, to *Bundle) ([]Edit, error) {
	old, current := from.entries(), to.entries()
	var out []Edit
	for k, v := range current {
		previous, ok := old[k]
		if !ok {
			out = append(out, Edit{Op: OpAdd, Kind: k.kind, Name: k.name})
			continue
		}
		fields, err := fieldDiff(previous, v)
		if err != nil {
			return nil, err
		}
		if len(fields) > 0 {
			out = append(out, Edit{Op: OpChange, Kind: k.kind, Name: k.name, Fields: fields})
		}
	}
	for k := range old {
		if _, ok := current[k]; !ok {
			out = append(out, Edit{Op: OpRemove, Kind: k.kind, Name: k.name})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return fmt.Sprint(out[i].Kind, "/", out[i].Name) < fmt.Sprint(out[j].Kind, "/", out[j].Name)
	})
	return out, nil
}

func fieldDiff(a, b any) ([]string, error) {
	before, err := rawFields(a)
	if err != nil {
		return nil, err
	}
	after, err := rawFields(b)
	if err != nil {
		return nil, err
	}
	var out []string
	for name := range after {
		if !bytes.Equal(before[name], after[name]) {
			out = append(out, name)
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out, nil
}

func rawFields(v any) (map[string]json.RawMessage, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, &EncodeError{Cause: err}
	}
	var out map[string]json.RawMessage
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, &EncodeError{Cause: err}
	}
	return out, nil
}
