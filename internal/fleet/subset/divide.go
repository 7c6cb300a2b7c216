// SPDX-License-Identifier: Apache-2.0

package subset

import (
	"cmp"
	"hash/fnv"
	"slices"
)

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
