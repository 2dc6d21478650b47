package text

import (
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// places remembers the nodes to which faults between items refer. The lists
// of nodes follow the order in which the items appear in the text.
type places struct {
	names        map[string]map[string]bool
	regions      ast.Node
	dependencies []ast.Node
	homes        []ast.Node
}

func newPlaces() places {
	return places{names: map[string]map[string]bool{}}
}

// claim reports a second item of a kind with the same name.
func (p *places) claim(d *decoder, n ast.Node, kind, name string) {
	if name == "" {
		return
	}
	if p.names[kind] == nil {
		p.names[kind] = map[string]bool{}
	}
	if p.names[kind][name] {
		d.fault(n, DuplicateName, "%s %q appears twice", kind, name)
	}
	p.names[kind][name] = true
}

func (p *places) depend(n ast.Node) { p.dependencies = append(p.dependencies, n) }

// checkReferences reports references that lead nowhere, cycles, and regions
// without a data centre that may receive work.
// Items that already have a fault of their own cause no second fault here.
func (d *decoder) checkReferences(t *Text) {
	d.checkDependencies(t)
	if len(t.Regions) == 0 {
		return
	}
	d.checkDataCentres(t)
	d.checkHomes(t)
}

// edge is one dependency with the node that names it.
type edge struct {
	to   string
	node ast.Node
}

func (d *decoder) checkDependencies(t *Text) {
	graph := map[string][]edge{}
	next := 0
	for _, s := range t.Services {
		for _, dep := range s.DependsOn {
			node := d.places.dependencies[next]
			next++
			if !namePattern.MatchString(dep.Service) {
				continue
			}
			if !d.places.names["service"][dep.Service] {
				d.fault(node, UnknownDependency, "service %q depends on %q, which is not a service of the text", s.Name, dep.Service)
				continue
			}
			graph[s.Name] = append(graph[s.Name], edge{to: dep.Service, node: node})
		}
	}
	d.checkCycles(t, graph)
}

// checkCycles walks the graph depth first. An edge back to a service on the
// current path closes a cycle and is reported once.
func (d *decoder) checkCycles(t *Text, graph map[string][]edge) {
	const onPath, done = 1, 2
	state := map[string]int{}
	var path []string
	var visit func(name string)
	visit = func(name string) {
		state[name] = onPath
		path = append(path, name)
		for _, e := range graph[name] {
			switch state[e.to] {
			case onPath:
				d.fault(e.node, DependencyCycle, "services depend on each other: %s", cycle(path, e.to))
			case done:
			default:
				visit(e.to)
			}
		}
		path = path[:len(path)-1]
		state[name] = done
	}
	for _, s := range t.Services {
		if state[s.Name] == 0 {
			visit(s.Name)
		}
	}
}

func cycle(path []string, back string) string {
	for i, name := range path {
		if name == back {
			path = path[i:]
			break
		}
	}
	return strings.Join(path, " -> ") + " -> " + back
}

func (d *decoder) checkDataCentres(t *Text) {
	for _, r := range t.Regions {
		if r.anyIn() {
			return
		}
	}
	d.fault(d.places.regions, AllDataCentresOut, "every data centre is out")
}

// anyIn reports whether a data centre of the region may receive work.
func (r Region) anyIn() bool {
	for _, dc := range r.DataCentres {
		if dc.State != Out {
			return true
		}
	}
	return false
}

func (d *decoder) checkHomes(t *Text) {
	regions := map[string]bool{}
	for _, r := range t.Regions {
		regions[r.Name] = true
	}
	next := 0
	for _, tenant := range t.Tenants {
		for _, home := range tenant.HomeRegions {
			node := d.places.homes[next]
			next++
			if namePattern.MatchString(home) && !regions[home] {
				d.fault(node, UnknownRegion, "tenant %q has the home region %q, which is not a region of the text", tenant.Name, home)
			}
		}
	}
}
