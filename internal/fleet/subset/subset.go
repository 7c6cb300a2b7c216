// SPDX-License-Identifier: Apache-2.0

// Package subset assigns to each node the servers that it is to use, so that servers of one size are used by about as
// many nodes each, and few connections are held in all. The package does no I/O: from the same names every node works
// out the same assignment, and from nearly the same names nearly the same one. docs/fleet.md lists what it promises.
package subset

import (
	"cmp"
	"math"
	"slices"
)

// BalanceFactor bounds by how much the number of nodes that use a server may differ from what its size calls for, as a
// factor either way, or by less than one node where that is more.
const BalanceFactor = 1.15

// Settings are what nodes agree on beforehand.
type Settings struct {
	// Size is how many servers a node uses, of all classes together.
	Size int
	// MinNodesPerServer is how many nodes use each server at least, as far as there are so many.
	MinNodesPerServer int
}

// Server is a server of the endpoint list. Servers of one zone, machine type and cell, a class, can stand in for each
// other.
type Server struct {
	Name                    string
	Zone, MachineType, Cell int
	Size                    float64 // in any unit; 0 or less: not known, taken for the mean
}

type class struct{ zone, machineType, cell int }

// Assignment is which nodes use which servers.
type Assignment struct {
	nodes   []string // in order
	classes []classAssignment
}

// classAssignment is the assignment of the servers of one class.
type classAssignment struct {
	servers        []Server // in order of their names
	serversPerNode int
	assigned       [][]bool // by node and server
}

// Assign assigns servers to nodes. Both may come in any order, and nodes more than once.
func Assign(nodes []string, servers []Server, settings Settings) *Assignment {
	a := &Assignment{nodes: slices.Compact(slices.Sorted(slices.Values(nodes)))}
	classes := map[class][]Server{}
	for _, server := range servers {
		c := class{zone: server.Zone, machineType: server.MachineType, cell: server.Cell}
		classes[c] = append(classes[c], server)
	}
	for _, members := range classes {
		slices.SortFunc(members, func(x, y Server) int { return cmp.Compare(x.Name, y.Name) })
		perNode := settings.serversPerNode(len(a.nodes), len(members), len(servers))
		a.classes = append(a.classes, assignClass(a.nodes, members, perNode, settings.MinNodesPerServer))
	}
	return a
}

// serversPerNode returns how many servers of a class a node uses: in proportion to the class, at least one, and more
// where there are too few nodes for each server to be used by enough of them.
func (s Settings) serversPerNode(nodes, classServers, allServers int) int {
	proportional := int(math.Ceil(float64(s.Size*classServers) / float64(allServers)))
	covering := (min(s.MinNodesPerServer, nodes)*classServers + nodes - 1) / nodes
	return min(max(proportional, covering, 1), classServers)
}

// Distances returns how far each server is from a node, by name: 0 for those that the node is to use, 1 for as many
// again that it turns to first if those can't serve, 2 for twice as many, and so on. It is empty for a node that is
// not known.
func (a *Assignment) Distances(node string) map[string]int {
	distances := map[string]int{}
	index, known := slices.BinarySearch(a.nodes, node)
	if !known {
		return distances
	}
	for _, c := range a.classes {
		c.addDistances(nameHash(node), c.assigned[index], distances)
	}
	return distances
}

// addDistances adds the distances of one class. The order of the servers that the node is not to use is its own:
// otherwise the nodes whose servers are crowded would all turn to the same next one.
func (c *classAssignment) addDistances(nodeHash uint64, assigned []bool, distances map[string]int) {
	var others []int
	for i, server := range c.servers {
		if assigned[i] {
			distances[server.Name] = 0
		} else {
			others = append(others, i)
		}
	}
	hash := func(i int) uint64 { return pairHash(nodeHash, nameHash(c.servers[i].Name)) }
	slices.SortFunc(others, func(x, y int) int { return cmp.Compare(hash(x), hash(y)) })
	for position, i := range others {
		distances[c.servers[i].Name] = 1 + int(math.Log2(float64(position/c.serversPerNode+1)))
	}
}
