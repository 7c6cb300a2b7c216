// SPDX-License-Identifier: Apache-2.0

package subset

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// pair is a node and a server by their indexes. The hash, which is the same on all nodes, orders the pairs.
type pair struct {
	hash         uint64
	node, server int
}

// bounds are the minimum and maximum number of nodes that use each server, by index of the server.
type bounds struct{ minimum, maximum []int }

// classDivider assigns the servers of one class to nodes.
type classDivider struct {
	servers      []Server
	perNode      int // number of servers to assign to each node
	bounds       bounds
	pairs        []pair   // sorted by hash
	assigned     [][]bool // by node and server
	nodeCounts   []int    // number of assigned nodes, by server
	serverCounts []int    // number of assigned servers, by node
}

// assignClass assigns perNode servers of one class to each node, or a few more. minNodes is the minimum
// number of nodes per server.
//
// All steps process the pairs in the same order by hash, so that a pair depends on other nodes and servers
// only through the bounds. With an order by index, or with nodes in turn, nearly all pairs would move when
// one node joins.
func assignClass(nodes []string, servers []Server, perNode, minNodes int) classAssignment {
	hashes := make([]uint64, len(servers))
	for i, server := range servers {
		hashes[i] = nameHash(server.Name)
	}
	b := newBounds(servers, hashes, perNode, len(nodes), minNodes)
	// If small servers need minNodes nodes next to large servers, the sum of the minimums may exceed the
	// number of assignments.
	for perNode < len(servers) && sum(b.minimum) > len(nodes)*perNode {
		perNode++
		b = newBounds(servers, hashes, perNode, len(nodes), minNodes)
	}
	d := &classDivider{
		servers:      servers,
		perNode:      perNode,
		bounds:       b,
		pairs:        orderedPairs(nodes, hashes),
		assigned:     make([][]bool, len(nodes)),
		nodeCounts:   make([]int, len(servers)),
		serverCounts: make([]int, len(nodes)),
	}
	for node := range d.assigned {
		d.assigned[node] = make([]bool, len(servers))
	}
	// Filling only to the maximum would move a fifth more pairs when a node joins.
	d.fill(b.minimum)
	d.fill(b.maximum)
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
		return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.node, y.node),
			cmp.Compare(x.server, y.server))
	})
	return pairs
}

func (d *classDivider) add(node, server int) {
	if d.assigned[node][server] {
		return
	}
	d.assigned[node][server] = true
	d.serverCounts[node]++
	d.nodeCounts[server]++
}

func (d *classDivider) remove(node, server int) {
	if !d.assigned[node][server] {
		return
	}
	d.assigned[node][server] = false
	d.serverCounts[node]--
	d.nodeCounts[server]--
}

// fill adds each pair whose node has fewer than perNode servers and whose server is below the given bound.
func (d *classDivider) fill(bound []int) {
	for _, p := range d.pairs {
		if d.serverCounts[p.node] < d.perNode && d.nodeCounts[p.server] < bound[p.server] {
			d.add(p.node, p.server)
		}
	}
}

// exchange assigns servers below their minimum to nodes that already have perNode servers, in place of a
// server above its minimum. Otherwise, if not all bounds can be met, some servers would be used by no node.
func (d *classDivider) exchange() {
	for _, p := range d.pairs {
		if d.nodeCounts[p.server] >= d.bounds.minimum[p.server] || d.assigned[p.node][p.server] {
			continue
		}
		if d.serverCounts[p.node] >= d.perNode {
			spare, found := d.mostSpare(p.node)
			if !found {
				continue
			}
			d.remove(p.node, spare)
		}
		d.add(p.node, p.server)
	}
}

// mostSpare returns the node's server that exceeds its minimum by the highest number of nodes.
func (d *classDivider) mostSpare(node int) (server int, found bool) {
	highest := 0
	for i := range d.servers {
		spare := d.nodeCounts[i] - d.bounds.minimum[i]
		if d.assigned[node][i] && spare > highest {
			server, highest, found = i, spare, true
		}
	}
	return server, found
}

// complete adds pairs until each server has its minimum number of nodes. Some nodes then have more than
// perNode servers.
func (d *classDivider) complete() {
	for _, p := range d.pairs {
		if d.nodeCounts[p.server] < d.bounds.minimum[p.server] {
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

// newBounds returns the bounds for perNode servers per node.
func newBounds(servers []Server, hashes []uint64, perNode, nodes, minNodes int) bounds {
	sizes := effectiveSizes(servers)
	uses := float64(nodes * perNode)
	var b bounds
	for i, size := range sizes.each {
		expected := uses * size / sizes.total
		// The offset makes the rounded bounds of different servers change at different numbers of nodes. If
		// all bounds changed at once, a pair would move at every server when one node joins.
		offset := float64(hashes[i]>>11) / (1 << 53) // the hash as a fraction from 0 to 1
		minimum, maximum := int(expected/BalanceFactor+offset), int(expected*BalanceFactor+offset)
		// A small server also needs minNodes nodes: if only few nodes use it, their differing views of the
		// live nodes could leave it unused.
		if minimum < minNodes {
			minimum, maximum = minNodes, max(maximum, minNodes)
		}
		b.minimum = append(b.minimum, min(minimum, nodes))
		b.maximum = append(b.maximum, min(maximum, nodes))
	}
	return b
}

// serverSizes are the sizes of servers, with unknown sizes replaced by the mean.
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

// nameHash returns a hash of the name of a node or server.
func nameHash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	x := h.Sum64()
	// FNV barely mixes the last bytes into the highest bits, which determine the order.
	return (x ^ x>>33) * 0xff51afd7ed558ccd
}

// pairHash returns a hash of the pair of a node and a server from the hashes of their names.
func pairHash(node, server uint64) uint64 {
	x := node ^ (server<<32 | server>>32)
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
