package text

import (
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// nodeIndex keeps the names of the items, and the nodes that faults in
// references between items point to. The lists of nodes follow the order in
// which the items appear in the text.
type nodeIndex struct {
	names        map[string]map[string]bool // by kind, then name
	regions      ast.Node
	dependencies []ast.Node
	homeRegions  []ast.Node
}

func newNodeIndex() nodeIndex {
	return nodeIndex{names: map[string]map[string]bool{}}
}

// registerName adds the name of an item and reports a fault if another item of
// the kind has the same name.
func (x *nodeIndex) registerName(d *decoder, n ast.Node, kind, name string) {
	if name == "" {
		return
	}
	if x.names[kind] == nil {
		x.names[kind] = map[string]bool{}
	}
	if x.names[kind][name] {
		d.fault(n, DuplicateName, "%s %q appears twice", kind, name)
	}
	x.names[kind][name] = true
}

func (x *nodeIndex) addDependency(n ast.Node) { x.dependencies = append(x.dependencies, n) }

// checkReferences reports references to unknown services and regions,
// dependency cycles, and a text without any data centre that may receive work.
// Items that already have a fault cause no second fault here.
func (d *decoder) checkReferences(t *Text) {
	d.checkDependencies(t)
	if len(t.Regions) == 0 {
		return
	}
	d.checkDataCentres(t)
	d.checkHomeRegions(t)
}

// edge is a dependency on a service with the node that names the service.
type edge struct {
	to   string
	node ast.Node
}

func (d *decoder) checkDependencies(t *Text) {
	graph := map[string][]edge{}
	next := 0
	for _, s := range t.Services {
		for _, dep := range s.DependsOn {
			node := d.nodes.dependencies[next]
			next++
			if !namePattern.MatchString(dep.Service) {
				continue
			}
			if !d.nodes.names["service"][dep.Service] {
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

// cycle formats the part of path that starts at the service back.
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
	d.fault(d.nodes.regions, AllDataCentresOut, "every data centre is out")
}

// anyIn reports whether a data centre of the region may receive work.
func (r Region) anyIn() bool {
	for _, dc := range r.DataCentres {
		if dc.State != DataCentreOut {
			return true
		}
	}
	return false
}

func (d *decoder) checkHomeRegions(t *Text) {
	regions := map[string]bool{}
	for _, r := range t.Regions {
		regions[r.Name] = true
	}
	next := 0
	for _, tenant := range t.Tenants {
		for _, home := range tenant.HomeRegions {
			node := d.nodes.homeRegions[next]
			next++
			if namePattern.MatchString(home) && !regions[home] {
				d.fault(node, UnknownRegion, "tenant %q has the home region %q, which is not a region of the text", tenant.Name, home)
			}
		}
	}
}
