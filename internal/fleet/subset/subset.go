// SPDX-License-Identifier: Apache-2.0

// Package subset says which executors a node is to use, so that each is used by about as many nodes as the next, and few
// connections are held in all. It is free of I/O: from the same names every node works out the same, and nodes that see other names
// work out nearly the same. docs/fleet.md says what is promised.
package subset

import (
	"cmp"
	"hash/fnv"
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

// pair is a node and an executor by their places, in order of a number by chance that all nodes know.
type pair struct {
	hash         uint64
	node, server int
}

// divide has each node take so many executors of one class, or a few more. First every executor gets the least of nodes that it is
// to have, then nodes take what they lack, up to the most of each executor, both in one order of pairs by chance. Without the first
// round a fifth more pairs move.
//
// Danger: an order by places, or by turns, moves nearly all when one node comes. Here a pair depends on its own number, and on others
// only as far as bounds are met.
func divide(nodes []string, members []Server, each, cover int) (table [][]bool, took int) {
	var pairs []pair
	marks := make([]uint64, len(members))
	for i, e := range members {
		marks[i] = nameHash(e.Name)
	}
	for n, name := range nodes {
		m := nameHash(name)
		for i := range members {
			pairs = append(pairs, pair{pairHash(m, marks[i]), n, i})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.node, b.node), cmp.Compare(a.server, b.server))
	})
	least, most := bounds(members, marks, len(nodes)*each, len(nodes), cover)
	// Danger: beside large ones the small ones' cover is more than all nodes would take.
	for each < len(members) && sum(least) > len(nodes)*each {
		each++
		least, most = bounds(members, marks, len(nodes)*each, len(nodes), cover)
	}
	table = make([][]bool, len(nodes))
	has, used := make([]int, len(nodes)), make([]int, len(members))
	for n := range table {
		table[n] = make([]bool, len(members))
	}
	take := func(p pair, by int) {
		if by < 0 == table[p.node][p.server] {
			table[p.node][p.server] = by > 0
			has[p.node], used[p.server] = has[p.node]+by, used[p.server]+by
		}
	}
	for _, bound := range [][]int{least, most} {
		for _, p := range pairs {
			if has[p.node] < each && used[p.server] < bound[p.server] {
				take(p, 1)
			}
		}
	}
	// Danger: what is left over by bounds that can't all be met, an executor that nobody uses among them.
	for _, p := range pairs {
		if used[p.server] >= least[p.server] || table[p.node][p.server] {
			continue
		}
		give := -1
		for i := range members {
			if table[p.node][i] && used[i] > least[i] && (give < 0 || used[i]-least[i] > used[give]-least[give]) {
				give = i
			}
		}
		if has[p.node] >= each {
			if give < 0 {
				continue
			}
			take(pair{0, p.node, give}, -1)
		}
		take(p, 1)
	}
	for _, p := range pairs {
		if used[p.server] < least[p.server] {
			take(p, 1) // one more than the others take
		}
	}
	return table, each
}

func sum(of []int) (all int) {
	for _, n := range of {
		all += n
	}
	return all
}

// bounds are the least and the most of nodes that are to use each executor, of so many uses in all.
func bounds(members []Server, marks []uint64, uses, nodes, cover int) (least, most []int) {
	all, known := 0.0, 0
	for _, e := range members {
		if e.Size > 0 {
			all, known = all+e.Size, known+1
		}
	}
	mean := 1.0
	if known > 0 {
		mean = all / float64(known)
	}
	all += mean * float64(len(members)-known)
	for i, e := range members {
		size := e.Size
		if size <= 0 {
			size = mean
		}
		due := float64(uses) * size / all
		// Danger: bounds that all step at one number of nodes move a pair at each executor at once.
		chance := float64(marks[i]>>11) / (1 << 53)
		low, high := int(due/BalanceFactor+chance), int(due*BalanceFactor+chance)
		// Danger: a small one that nobody uses, as the few that are to are wrong about who is there.
		if low < cover {
			low, high = cover, max(high, cover)
		}
		least, most = append(least, min(low, nodes)), append(most, min(high, nodes))
	}
	return least, most
}

func nameHash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	x := h.Sum64() // its last bytes are hardly mixed into the first bits
	return (x ^ x>>33) * 0xff51afd7ed558ccd
}

// pairHash is a number by chance of a pair of marks.
func pairHash(a, b uint64) uint64 {
	x := a ^ (b<<32 | b>>32)
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
