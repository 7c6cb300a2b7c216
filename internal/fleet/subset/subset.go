// SPDX-License-Identifier: Apache-2.0

// Package subset assigns a subset of the servers to each node, so that servers of the same size are used by
// about the same number of nodes and the fleet needs few connections. The package does no I/O: every node
// computes the same assignment from the same names, and nearly the same assignment from nearly the same
// names. docs/fleet.md lists its guarantees.
package subset

import (
	"cmp"
	"math"
	"slices"
)

// BalanceFactor is the largest factor, in either direction, between the number of nodes that use a server and
// the number in proportion to its size. A difference of less than one node is always allowed.
const BalanceFactor = 1.15

// Settings must be identical on all nodes.
type Settings struct {
	// Size is the number of servers that a node uses, over all classes.
	Size int
	// MinNodesPerServer is the minimum number of nodes that use each server. All nodes use it if there are
	// fewer.
	MinNodesPerServer int
}

// Server is a server of the endpoint list. Servers with the same zone, machine type and cell form a class and
// are interchangeable.
type Server struct {
	Name                    string
	Zone, MachineType, Cell int
	Size                    float64 // in any unit; 0 or less: unknown, replaced by the mean
}

type class struct{ zone, machineType, cell int }

// Assignment records which nodes use which servers.
type Assignment struct {
	nodes   []string // sorted
	classes []classAssignment
}

// classAssignment is the assignment of the servers of one class.
type classAssignment struct {
	servers        []Server // sorted by name
	serversPerNode int
	assigned       [][]bool // by node and server
}

// Assign assigns servers to nodes. Both may be in any order, and nodes may contain duplicates.
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

// serversPerNode returns the number of servers of a class that a node uses. It is proportional to the size of
// the class, at least one, and higher if too few nodes would otherwise use each server.
func (s Settings) serversPerNode(nodes, classServers, allServers int) int {
	proportional := int(math.Ceil(float64(s.Size*classServers) / float64(allServers)))
	covering := (min(s.MinNodesPerServer, nodes)*classServers + nodes - 1) / nodes
	return min(max(proportional, covering, 1), classServers)
}

// Distances returns the distance of each server from a node, by server name. Assigned servers have distance
// 0. If they can't serve, the node uses servers at distance 1, of which there are as many as assigned ones,
// then twice as many at distance 2, and so on. The result is empty for an unknown node.
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

// addDistances adds the distances of one class. Each node has its own order of the servers that are not
// assigned to it. Otherwise all nodes with overloaded servers would use the same next server.
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
