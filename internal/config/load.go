package config

import (
	"errors"
	"io/fs"
	"sort"
	"strconv"
	"strings"

	"github.com/shedhoist/shedhoist/internal/tomlfile"
)

// source remembers where an entry was declared.
type source struct {
	ix   *tomlfile.Index
	path string
}

func (s source) at(field, reason string) *tomlfile.Error {
	path := s.path
	if field != "" {
		path += "." + field
	}
	return s.ix.At(path, reason)
}

// loader gathers the files of one bundle and the place of each entry.
type loader struct {
	out  Bundle
	errs tomlfile.Errors

	customers, models, targets, services, stores, operators []source
}

// Load reads every *.toml file of a directory as one bundle and checks it
// whole. All problems are reported together, as tomlfile.Errors.
func Load(dir fs.FS) (*Bundle, error) {
	names, err := fs.Glob(dir, "*.toml")
	if err != nil || len(names) == 0 {
		return nil, tomlfile.Errors{{File: ".", Reason: "no *.toml files here"}}
	}
	sort.Strings(names)
	var l loader
	for _, name := range names {
		data, err := fs.ReadFile(dir, name)
		if err != nil {
			l.errs = append(l.errs, &tomlfile.Error{File: name, Reason: err.Error()})
			continue
		}
		l.file(name, data)
	}
	if len(l.errs) == 0 {
		l.checkNames()
		l.checkReferences()
	}
	if err := l.errs.Err(); err != nil {
		return nil, err
	}
	return &l.out, nil
}

// file decodes one file and appends its entries.
func (l *loader) file(name string, data []byte) {
	var b Bundle
	ix, err := tomlfile.Decode(name, data, &b)
	var errs tomlfile.Errors
	if errors.As(err, &errs) {
		l.errs = append(l.errs, errs...)
		return
	}
	l.customers = add(l.customers, ix, "customer", len(b.Customers))
	l.models = add(l.models, ix, "model", len(b.Models))
	l.targets = add(l.targets, ix, "target", len(b.Targets))
	l.services = add(l.services, ix, "service", len(b.Services))
	l.stores = add(l.stores, ix, "store", len(b.Stores))
	l.operators = add(l.operators, ix, "operator", len(b.Operators))
	l.out.Customers = append(l.out.Customers, b.Customers...)
	l.out.Models = append(l.out.Models, b.Models...)
	l.out.Targets = append(l.out.Targets, b.Targets...)
	l.out.Services = append(l.out.Services, b.Services...)
	l.out.Stores = append(l.out.Stores, b.Stores...)
	l.out.Operators = append(l.out.Operators, b.Operators...)
	if b.Policy != nil {
		if l.out.Policy != nil {
			l.errs = append(l.errs, ix.At("policy", "is declared twice"))
		}
		l.out.Policy = b.Policy
	}
}

func add(to []source, ix *tomlfile.Index, table string, n int) []source {
	for i := range n {
		to = append(to, source{ix: ix, path: table + "[" + strconv.Itoa(i) + "]"})
	}
	return to
}

// names maps each name of one kind to where it was first declared.
type names map[string]source

func (l *loader) unique(kind string, n int, src []source, name func(int) string) names {
	seen := names{}
	for i := range n {
		if first, dup := seen[name(i)]; dup {
			where := first.ix.File + ":" + strconv.Itoa(first.ix.Line(first.path))
			l.errs = append(l.errs, src[i].at("name", "duplicate "+kind+" "+strconv.Quote(name(i))+", first at "+where))
			continue
		}
		seen[name(i)] = src[i]
	}
	return seen
}

func (l *loader) checkNames() {
	b := &l.out
	l.unique("customer", len(b.Customers), l.customers, func(i int) string { return b.Customers[i].Name })
	l.unique("model", len(b.Models), l.models, func(i int) string { return b.Models[i].Name })
	l.unique("target", len(b.Targets), l.targets, func(i int) string { return b.Targets[i].Name })
	l.unique("service", len(b.Services), l.services, func(i int) string { return b.Services[i].Name })
	l.unique("store", len(b.Stores), l.stores, func(i int) string { return b.Stores[i].Name })
	l.unique("operator", len(b.Operators), l.operators, func(i int) string { return b.Operators[i].Name })
	l.checkKeys()
}

// checkKeys refuses one key for two customers: a caller must be one customer.
func (l *loader) checkKeys() {
	owner := map[string]string{}
	for i, c := range l.out.Customers {
		for j, h := range c.KeyHashes {
			h = strings.ToLower(h)
			if other, dup := owner[h]; dup {
				l.errs = append(l.errs, l.customers[i].at("key_sha256", "hash "+strconv.Itoa(j+1)+" is already a key of customer "+strconv.Quote(other)))
			}
			owner[h] = c.Name
		}
	}
}

func (l *loader) checkReferences() {
	models, services := map[string]*Model{}, map[string]bool{}
	for i := range l.out.Models {
		models[l.out.Models[i].Name] = &l.out.Models[i]
	}
	for _, s := range l.out.Services {
		services[s.Name] = true
	}
	for i, m := range l.out.Models {
		l.checkModel(l.models[i], m)
	}
	for i, t := range l.out.Targets {
		if models[t.Model] == nil {
			l.errs = append(l.errs, l.targets[i].at("model", "no model "+strconv.Quote(t.Model)))
		}
	}
	for i, c := range l.out.Customers {
		l.checkCustomer(l.customers[i], c, models, services)
	}
}

func (l *loader) checkModel(src source, m Model) {
	found := false
	for _, v := range m.Versions {
		found = found || v == m.Version
	}
	if !found {
		l.errs = append(l.errs, src.at("version", strconv.Quote(m.Version)+" is not among versions"))
	}
	seen := map[string]bool{}
	for _, a := range m.Adapters {
		if seen[a.Name] {
			l.errs = append(l.errs, src.at("", "duplicate adapter "+strconv.Quote(a.Name)))
		}
		seen[a.Name] = true
	}
}

func (l *loader) checkCustomer(src source, c Customer, models map[string]*Model, services map[string]bool) {
	for _, m := range c.Models {
		if models[m] == nil {
			l.errs = append(l.errs, src.at("models", "no model "+strconv.Quote(m)))
		}
	}
	for _, s := range c.Services {
		if !services[s] {
			l.errs = append(l.errs, src.at("services", "no service "+strconv.Quote(s)))
		}
	}
}
