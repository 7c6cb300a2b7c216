// SPDX-License-Identifier: Apache-2.0

// Package subset says which executors a node is to use, so that each is used by about as many nodes as the next, and few
// connections are held in all. It is free of I/O: from the same names every node works out the same, and nodes that see other names
// work out nearly the same. docs/fleet.md says what is promised.
package subset

import (
	"cmp"
	"math"
	"slices"
)

// Settings are what nodes agree on beforehand.
type Settings struct {
	Size              int // executors that a node uses, of all classes together
	MinNodesPerServer int // nodes by which each executor is used at least, as far as there are so many
}

// Server is one of the list. Executors of one class can stand in for each other.
type Server struct {
	Name                    string
	Zone, MachineType, Cell int
	Size                    float64 // by which it is used; not over nought: as the mean
}

type class struct{ zone, machineType, cell int }

// BalanceFactor bounds by how much the number of nodes that use an executor may differ from what its size calls for, as a factor
// either way, or by less than one where that is more: nodes can't be cut up.
const BalanceFactor = 1.15

// Assignment is who uses what.
type Assignment struct {
	nodes   []string
	classes []classAssignment
}

// classAssignment is the division of one class.
type classAssignment struct {
	servers        []Server
	serversPerNode int      // executors that a node uses
	assigned       [][]bool // by node and executor
}

// Assign works out who uses what. Nodes and executors may come in any order, nodes more than once.
func Assign(nodes []string, executors []Server, t Settings) *Assignment {
	d := &Assignment{nodes: slices.Compact(slices.Sorted(slices.Values(nodes)))}
	classes := map[class][]Server{}
	for _, e := range executors {
		c := class{e.Zone, e.MachineType, e.Cell}
		classes[c] = append(classes[c], e)
	}
	for _, members := range classes {
		slices.SortFunc(members, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
		table, each := divide(d.nodes, members, t.serversPerNode(len(d.nodes), len(members), len(executors)), t.MinNodesPerServer)
		d.classes = append(d.classes, classAssignment{members, each, table})
	}
	return d
}

// Distances is how far away executors are from one of the nodes, by name: 0 for those that it is to use, 1 for as many again that it
// turns to first when those can't serve, 2 for twice as many, and so on.
func (d *Assignment) Distances(node string) map[string]int {
	far := map[string]int{}
	at, is := slices.BinarySearch(d.nodes, node)
	if !is {
		return far
	}
	for _, p := range d.classes {
		rest := make([]int, 0, len(p.servers))
		for i := range p.servers {
			if p.assigned[at][i] {
				far[p.servers[i].Name] = 0
			} else {
				rest = append(rest, i)
			}
		}
		// Danger: what is crowded for many sends them all to the same next one. Each has an order of its own.
		mine := nameHash(node)
		slices.SortFunc(rest, func(a, b int) int {
			return cmp.Compare(pairHash(mine, nameHash(p.servers[a].Name)), pairHash(mine, nameHash(p.servers[b].Name)))
		})
		for n, i := range rest {
			far[p.servers[i].Name] = 1 + int(math.Log2(float64(n/p.serversPerNode+1)))
		}
	}
	return far
}

// serversPerNode is how many executors of a class a node uses: its part, one at least, and more where nodes are few.
func (t Settings) serversPerNode(nodes, members, all int) int {
	part := int(math.Ceil(float64(t.Size*members) / float64(all)))
	cover := (min(t.MinNodesPerServer, nodes)*members + nodes - 1) / nodes
	return min(max(part, cover, 1), members)
}
