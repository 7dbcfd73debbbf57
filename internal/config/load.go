package config

import (
	"errors"
	"io/fs"
	"sort"
	"strconv"
	"strings"

	"github.com/shedhoist/shedhoist/internal/tomlfile"
)

// declaration is the file and key path where an entry was declared.
type declaration struct {
	index *tomlfile.Index
	path  string
}

func (d declaration) errorAt(field, reason string) *tomlfile.Error {
	path := d.path
	if field != "" {
		path += "." + field
	}
	return d.index.ErrorAt(path, reason)
}

// loader collects the entries of all files into one bundle, with the
// declaration of each entry.
type loader struct {
	bundle Bundle
	errs   tomlfile.Errors

	customers, models, targets, services, stores, operators []declaration
}

// Load reads every *.toml file of a directory as one bundle and validates it.
// It returns all errors together, as tomlfile.Errors.
func Load(dir fs.FS) (*Bundle, error) {
	names, err := fs.Glob(dir, "*.toml")
	if err != nil || len(names) == 0 {
		return nil, tomlfile.Errors{{File: ".", Reason: "directory has no *.toml files"}}
	}
	sort.Strings(names)
	var l loader
	for _, name := range names {
		data, err := fs.ReadFile(dir, name)
		if err != nil {
			l.errs = append(l.errs, &tomlfile.Error{File: name, Reason: err.Error()})
			continue
		}
		l.addFile(name, data)
	}
	if len(l.errs) == 0 {
		l.checkNames()
		l.checkReferences()
	}
	if err := l.errs.Err(); err != nil {
		return nil, err
	}
	return &l.bundle, nil
}

// addFile decodes one file and appends its entries.
func (l *loader) addFile(name string, data []byte) {
	var b Bundle
	index, err := tomlfile.Decode(name, data, &b)
	var errs tomlfile.Errors
	if errors.As(err, &errs) {
		l.errs = append(l.errs, errs...)
		return
	}
	l.customers = appendDeclarations(l.customers, index, "customer", len(b.Customers))
	l.models = appendDeclarations(l.models, index, "model", len(b.Models))
	l.targets = appendDeclarations(l.targets, index, "target", len(b.Targets))
	l.services = appendDeclarations(l.services, index, "service", len(b.Services))
	l.stores = appendDeclarations(l.stores, index, "store", len(b.Stores))
	l.operators = appendDeclarations(l.operators, index, "operator", len(b.Operators))
	l.bundle.Customers = append(l.bundle.Customers, b.Customers...)
	l.bundle.Models = append(l.bundle.Models, b.Models...)
	l.bundle.Targets = append(l.bundle.Targets, b.Targets...)
	l.bundle.Services = append(l.bundle.Services, b.Services...)
	l.bundle.Stores = append(l.bundle.Stores, b.Stores...)
	l.bundle.Operators = append(l.bundle.Operators, b.Operators...)
	if b.Policy != nil {
		if l.bundle.Policy != nil {
			l.errs = append(l.errs, index.ErrorAt("policy", "is declared twice"))
		}
		l.bundle.Policy = b.Policy
	}
}

func appendDeclarations(declarations []declaration, index *tomlfile.Index, table string, n int) []declaration {
	for i := range n {
		declarations = append(declarations, declaration{index: index, path: table + "[" + strconv.Itoa(i) + "]"})
	}
	return declarations
}

// declaredNames maps each name of one kind to its first declaration.
type declaredNames map[string]declaration

func (l *loader) checkUnique(kind string, n int, declared []declaration, name func(int) string) declaredNames {
	seen := declaredNames{}
	for i := range n {
		if first, dup := seen[name(i)]; dup {
			where := first.index.File + ":" + strconv.Itoa(first.index.Line(first.path))
			l.errs = append(l.errs, declared[i].errorAt("name", "duplicate "+kind+" "+strconv.Quote(name(i))+", first at "+where))
			continue
		}
		seen[name(i)] = declared[i]
	}
	return seen
}

func (l *loader) checkNames() {
	b := &l.bundle
	l.checkUnique("customer", len(b.Customers), l.customers, func(i int) string { return b.Customers[i].Name })
	l.checkUnique("model", len(b.Models), l.models, func(i int) string { return b.Models[i].Name })
	l.checkUnique("target", len(b.Targets), l.targets, func(i int) string { return b.Targets[i].Name })
	l.checkUnique("service", len(b.Services), l.services, func(i int) string { return b.Services[i].Name })
	l.checkUnique("store", len(b.Stores), l.stores, func(i int) string { return b.Stores[i].Name })
	l.checkUnique("operator", len(b.Operators), l.operators, func(i int) string { return b.Operators[i].Name })
	l.checkKeyHashes()
}

// checkKeyHashes rejects a key that is declared twice: a key must identify
// exactly one customer.
func (l *loader) checkKeyHashes() {
	owner := map[string]string{}
	for i, c := range l.bundle.Customers {
		for j, h := range c.KeyHashes {
			h = strings.ToLower(h)
			if other, dup := owner[h]; dup {
				l.errs = append(l.errs, l.customers[i].errorAt("key_sha256", "hash "+strconv.Itoa(j+1)+" is already a key of customer "+strconv.Quote(other)))
			}
			owner[h] = c.Name
		}
	}
}

func (l *loader) checkReferences() {
	models, services := map[string]*Model{}, map[string]bool{}
	for i := range l.bundle.Models {
		models[l.bundle.Models[i].Name] = &l.bundle.Models[i]
	}
	for _, s := range l.bundle.Services {
		services[s.Name] = true
	}
	for i, m := range l.bundle.Models {
		l.checkModel(l.models[i], m)
	}
	for i, t := range l.bundle.Targets {
		if models[t.Model] == nil {
			l.errs = append(l.errs, l.targets[i].errorAt("model", "no model "+strconv.Quote(t.Model)))
		}
	}
	for i, c := range l.bundle.Customers {
		l.checkCustomer(l.customers[i], c, models, services)
	}
}

func (l *loader) checkModel(declared declaration, m Model) {
	found := false
	for _, v := range m.Versions {
		found = found || v == m.Version
	}
	if !found {
		l.errs = append(l.errs, declared.errorAt("version", strconv.Quote(m.Version)+" is not among versions"))
	}
	seen := map[string]bool{}
	for _, a := range m.Adapters {
		if seen[a.Name] {
			l.errs = append(l.errs, declared.errorAt("", "duplicate adapter "+strconv.Quote(a.Name)))
		}
		seen[a.Name] = true
	}
}

func (l *loader) checkCustomer(declared declaration, c Customer, models map[string]*Model, services map[string]bool) {
	for _, m := range c.Models {
		if models[m] == nil {
			l.errs = append(l.errs, declared.errorAt("models", "no model "+strconv.Quote(m)))
		}
	}
	for _, s := range c.Services {
		if !services[s] {
			l.errs = append(l.errs, declared.errorAt("services", "no service "+strconv.Quote(s)))
		}
	}
}
