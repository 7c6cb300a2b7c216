// SPDX-License-Identifier: Apache-2.0

package subset

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// pair is a node and a server by their indexes. The hash, which all nodes know, puts pairs into an order.
type pair struct {
	hash         uint64
	node, server int
}

// bounds are how many nodes are to use each server at least and at most, by index.
type bounds struct{ least, most []int }

// classDivider assigns the servers of one class to nodes.
type classDivider struct {
	servers  []Server
	perNode  int // servers that a node takes
	bounds   bounds
	pairs    []pair // in order
	assigned [][]bool
	used     []int // nodes by server
	taken    []int // servers by node
}

// assignClass has each node take perNode servers of one class, or a few more. minNodes is by how many nodes each
// server is used at least.
//
// All steps go through the pairs in one order by hash, so that a pair depends on other nodes and servers only as far
// as bounds are met. An order by index, or by turns, would move nearly all pairs when one node joins.
func assignClass(nodes []string, servers []Server, perNode, minNodes int) classAssignment {
	hashes := make([]uint64, len(servers))
	for i, server := range servers {
		hashes[i] = nameHash(server.Name)
	}
	b := newBounds(servers, hashes, perNode, len(nodes), minNodes)
	// Beside large servers, the nodes that small ones need for minNodes may be more than all nodes take otherwise.
	for perNode < len(servers) && sum(b.least) > len(nodes)*perNode {
		perNode++
		b = newBounds(servers, hashes, perNode, len(nodes), minNodes)
	}
	d := &classDivider{
		servers:  servers,
		perNode:  perNode,
		bounds:   b,
		pairs:    orderedPairs(nodes, hashes),
		assigned: make([][]bool, len(nodes)),
		used:     make([]int, len(servers)),
		taken:    make([]int, len(nodes)),
	}
	for node := range d.assigned {
		d.assigned[node] = make([]bool, len(servers))
	}
	// Without the first round a fifth more pairs move when a node joins.
	d.fill(b.least)
	d.fill(b.most)
	d.exchange()
	d.complete()
	return classAssignment{servers: servers, serversPerNode: perNode, assigned: d.assigned}
}

func orderedPairs(nodes []string, serverHashes []uint64) []pair {
	pairs := make([]pair, 0, len(nodes)*len(serverHashes))
	for node, name := range nodes {
		nodeHash := nameHash(name)
		for server, serverHash := range serverHashes {
			pairs = append(pairs, pair{hash: pairHash(nodeHash, serverHash), node: node, server: server})
		}
	}
	slices.SortFunc(pairs, func(x, y pair) int {
		return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.node, y.node), cmp.Compare(x.server, y.server))
	})
	return pairs
}

func (d *classDivider) add(node, server int) {
	if d.assigned[node][server] {
		return
	}
	d.assigned[node][server] = true
	d.taken[node]++
	d.used[server]++
}

func (d *classDivider) remove(node, server int) {
	if !d.assigned[node][server] {
		return
	}
	d.assigned[node][server] = false
	d.taken[node]--
	d.used[server]--
}

// fill adds pairs up to what nodes take and up to a bound of each server.
func (d *classDivider) fill(bound []int) {
	for _, p := range d.pairs {
		if d.taken[p.node] < d.perNode && d.used[p.server] < bound[p.server] {
			d.add(p.node, p.server)
		}
	}
}

// exchange gives servers below their least bound to nodes that take enough already, in place of a server that has
// nodes to spare. Bounds that can't all be met would otherwise leave servers that no node uses.
func (d *classDivider) exchange() {
	for _, p := range d.pairs {
		if d.used[p.server] >= d.bounds.least[p.server] || d.assigned[p.node][p.server] {
			continue
		}
		if d.taken[p.node] >= d.perNode {
			spare, found := d.mostSpare(p.node)
			if !found {
				continue
			}
			d.remove(p.node, spare)
		}
		d.add(p.node, p.server)
	}
}

// mostSpare returns which of a node's servers exceeds its least bound by the most.
func (d *classDivider) mostSpare(node int) (server int, found bool) {
	most := 0
	for i := range d.servers {
		spare := d.used[i] - d.bounds.least[i]
		if d.assigned[node][i] && spare > most {
			server, most, found = i, spare, true
		}
	}
	return server, found
}

// complete adds pairs until each server is used by its least number of nodes, some of which then take more than the
// others.
func (d *classDivider) complete() {
	for _, p := range d.pairs {
		if d.used[p.server] < d.bounds.least[p.server] {
			d.add(p.node, p.server)
		}
	}
}

func sum(values []int) int {
	total := 0
	for _, value := range values {
		total += value
	}
	return total
}

// newBounds returns the bounds if each node takes perNode servers.
func newBounds(servers []Server, hashes []uint64, perNode, nodes, minNodes int) bounds {
	sizes := effectiveSizes(servers)
	uses := float64(nodes * perNode)
	var b bounds
	for i, size := range sizes.each {
		due := uses * size / sizes.total
		// The bounds of each server step at another number of nodes. Bounds that all stepped at once would move a pair
		// at every server when one node joins.
		offset := float64(hashes[i]>>11) / (1 << 53) // the hash as a fraction from 0 to 1
		least, most := int(due/BalanceFactor+offset), int(due*BalanceFactor+offset)
		// A small server needs enough nodes as well: the few that are to use it may be wrong about who else is alive.
		if least < minNodes {
			least, most = minNodes, max(most, minNodes)
		}
		b.least = append(b.least, min(least, nodes))
		b.most = append(b.most, min(most, nodes))
	}
	return b
}

// serverSizes are sizes of servers, with the mean in place of those that are not known.
type serverSizes struct {
	each  []float64
	total float64
}

func effectiveSizes(servers []Server) serverSizes {
	total, known := 0.0, 0
	for _, server := range servers {
		if server.Size > 0 {
			total += server.Size
			known++
		}
	}
	mean := 1.0
	if known > 0 {
		mean = total / float64(known)
	}
	sizes := serverSizes{total: total + mean*float64(len(servers)-known)}
	for _, server := range servers {
		if server.Size > 0 {
			sizes.each = append(sizes.each, server.Size)
		} else {
			sizes.each = append(sizes.each, mean)
		}
	}
	return sizes
}

// nameHash returns a number for a node or server that depends on its name alone.
func nameHash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	x := h.Sum64()
	// FNV hardly mixes the last bytes into the highest bits, which decide the order.
	return (x ^ x>>33) * 0xff51afd7ed558ccd
}

// pairHash returns a number for the pair of a node and a server, given the hashes of their names.
func pairHash(node, server uint64) uint64 {
	x := node ^ (server<<32 | server>>32)
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
